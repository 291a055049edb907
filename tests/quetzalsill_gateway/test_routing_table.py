"""Tests of route matching by host and longest prefix."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_gateway import routing_table
from quetzalsill_gateway.http import listener

PART = st.sampled_from(['a', 'b', 'ab'])
PREFIX = st.lists(PART, max_size=3).map(
    lambda parts: '/'.join(['', *parts, ''])
)


def table(prefixes):
    routes = [
        routing_table.Route(
            f'r{number}',
            b'h.example',
            prefix.encode(),
            routing_table.Kind.IDEMPOTENT,
            (routing_table.Target('s', 1.0),),
        )
        for number, prefix in enumerate(prefixes)
    ]
    return routing_table.RoutingTable.build(
        1, routes, [], None, listener.Limits()
    )


class MatchTest(unittest.TestCase):
    """The route with the longest matching prefix is chosen."""

    @settings(derandomize=True, deadline=None)
    @given(st.sets(PREFIX, min_size=1), PREFIX, PART)
    def test_the_longest_matching_prefix_wins(self, prefixes, path, last):
        path += last
        matching = [p for p in prefixes if path.startswith(p)]
        found = table(prefixes).match(b'H.Example:8080', path.encode())
        if not matching:
            self.assertIsNone(found)
        else:
            self.assertEqual(found.prefix.decode(), max(matching, key=len))

    def test_another_host_has_no_route(self):
        self.assertIsNone(table(['/']).match(b'other', b'/'))


if __name__ == '__main__':
    unittest.main()
