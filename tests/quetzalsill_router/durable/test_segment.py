"""Property tests of the form of segments."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies as st

from quetzalsill.error import base
from quetzalsill_router.durable import answer, entry, error, segment

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
text = st.text(max_size=8)
number = st.integers(0, 2**40)
headers = st.lists(st.lists(text, min_size=2, max_size=2), max_size=2)
runs = st.none() | st.builds(entry.Run, text, text, number)
entries = st.builds(
    entry.Entry,
    account=text,
    payload=st.binary(max_size=16),
    accepted_ms=number,
    deadline_ms=number,
    headers=headers,
    run=runs,
    request=st.just(''),
    fence=st.just(1),
)
answers = st.builds(
    answer.Answer,
    ran=st.sampled_from(base.Ran),
    headers=headers,
    events=st.lists(st.binary(max_size=8), max_size=3),
)
segments = st.builds(
    segment.Segment,
    nonce=st.binary(min_size=16, max_size=16),
    floor=number,
    sealed_by=text,
    accepted=st.lists(entries, max_size=3),
    dispatched=st.lists(st.builds(segment.Dispatched, text, number, runs)),
    settled=st.lists(st.builds(segment.Settled, text, text, answers)),
    adopted=st.lists(st.builds(segment.Adopted, text, number)),
)


class SegmentTest(unittest.TestCase):
    """Segments as bytes."""

    @SETTINGS
    @hypothesis.given(segments)
    def test_round_trip(self, before):
        after = segment.decode(segment.encode(before), 'a.1.1', 7)
        for index, found in enumerate(after.accepted):
            self.assertEqual(found.request, f'a.1.1-7-{index}')
            self.assertEqual(
                entry.parse_request_id(found.request),
                entry.Position('a.1.1', 7, index),
            )
            found.request = ''
        self.assertEqual(after, before)

    @SETTINGS
    @hypothesis.given(st.binary(max_size=64) | segments.map(segment.encode))
    def test_malformed(self, data):
        try:
            segment.decode(data[:-1], 'a.1.1', 1)
        except error.MalformedSegmentError:
            return
        self.fail('a cut segment was read')


if __name__ == '__main__':
    unittest.main()
