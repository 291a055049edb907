"""Tests of the HTTP response parser."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill.net import error, parser
from quetzalsill_dev.users_platform import endless

CHUNKED = (
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n'
    b'transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
)


class ResponseParserTest(unittest.TestCase):
    """A response is complete only as its head announces."""

    def parse(self, *pieces, method='GET'):
        parsed = parser.ResponseParser(method)
        for piece in pieces:
            parsed.feed(piece)
        return parsed

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.lists(strategies.integers(1, len(CHUNKED))))
    def test_cuts_of_the_stream_make_no_difference(self, cuts):
        marks = sorted({0, len(CHUNKED), *cuts})
        pieces = [
            CHUNKED[start:end]
            for start, end in zip(marks, marks[1:], strict=False)
        ]
        parsed = self.parse(*pieces)
        self.assertEqual(parsed.head.status, 200)
        self.assertEqual(parsed.head.first(b'x-a'), b'b')
        self.assertEqual(parsed.take_body(), b'abcde')
        self.assertTrue(parsed.can_reuse_connection)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.integers(0, len(CHUNKED) - 1))
    def test_cut_short_is_lost(self, end):
        parsed = self.parse(*filter(None, [CHUNKED[:end]]))
        self.assertFalse(parsed.is_complete)
        with self.assertRaises(error.ResponseLostError):
            parsed.feed(b'')

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.binary(min_size=1))
    def test_raises_only_its_own_error(self, data):
        for start in (b'', b'HTTP/1.1 200 OK\r\n', CHUNKED[:-5]):
            try:
                self.parse(start + data)
            except error.ResponseLostError:
                continue

    def test_responses_without_end(self):
        """Size lines or trailers without end fill the memory."""
        for shape, (first, part) in endless.HEADS.items():
            with self.subTest(shape):
                parsed = parser.ResponseParser('GET')
                parsed.feed(first.replace(b'%s', b'') or part)
                with self.assertRaises(error.ResponseLostError):
                    for _ in range(4 * parser.MAX_HEAD_BYTES // len(part)):
                        parsed.feed(part)

    def test_body_until_the_end_of_the_stream(self):
        parsed = self.parse(b'HTTP/1.1 200 OK\r\n\r\nall', b'')
        self.assertEqual(
            (parsed.take_body(), parsed.is_complete), (b'all', True)
        )
        self.assertFalse(parsed.can_reuse_connection)

    def test_head_request_has_no_body(self):
        head = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n'
        self.assertTrue(self.parse(head, method='HEAD').is_complete)
        self.assertFalse(self.parse(head).is_complete)

    def test_connection_with_more_than_asked_is_not_kept(self):
        self.assertFalse(self.parse(CHUNKED + b'HTTP').can_reuse_connection)

    def test_head_is_bounded(self):
        with self.assertRaises(error.ResponseLostError):
            self.parse(b'HTTP/1.1 200 OK\r\n', b'x: ' + b'y' * 70_000)
