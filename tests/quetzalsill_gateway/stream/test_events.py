"""Tests splitting bytes into events, whatever the chunk boundaries."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_gateway.stream import events

EVENT = st.builds(
    lambda number, text, end: (
        number,
        b'id: %d%sdata: %s' % (number, end[:-1][: len(end) // 2], text) + end,
    ),
    st.integers(0, 9999),
    st.binary(max_size=20).map(
        lambda b: b.replace(b'\n', b'').replace(b'\r', b'')
    ),
    st.sampled_from([b'\n\n', b'\r\n\r\n']),
)


class SplitterTest(unittest.TestCase):
    """An incomplete event must never be forwarded."""

    @settings(derandomize=True, deadline=None)
    @given(st.lists(EVENT, max_size=8), st.binary(max_size=9), st.data())
    def test_only_complete_events_however_the_bytes_are_split(
        self, generated, tail, data
    ):
        tail = tail.translate(None, b'\r\n')
        complete = b''.join(raw for _, raw in generated)
        stream = complete + tail
        splitter = events.Splitter()
        parsed = []
        while stream:
            size = data.draw(st.integers(1, len(stream)))
            parsed += splitter.feed(stream[:size])
            stream = stream[size:]
        self.assertEqual(b''.join(event.raw for event in parsed), complete)
        self.assertEqual(
            [event.id for event in parsed], [n for n, _ in generated]
        )
        self.assertEqual(splitter.remainder, tail)

    def test_events_without_a_number(self):
        parsed = list(events.Splitter().feed(b': hello\n\nid: x\n\nid:\n\n'))
        self.assertEqual([event.id for event in parsed], [None, None, None])


if __name__ == '__main__':
    unittest.main()
