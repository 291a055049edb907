"""Tests of the parser of an answer."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill.net import error, parser

CHUNKED = (
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n'
    b'transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
)


class AnswerParserTest(unittest.TestCase):
    """An answer is whole only when its head says so."""

    def parse(self, *pieces, method='GET'):
        made = parser.AnswerParser(method)
        for piece in pieces:
            made.feed(piece)
        return made

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.lists(strategies.integers(1, len(CHUNKED))))
    def test_cuts_of_the_stream_make_no_difference(self, cuts):
        marks = sorted({0, len(CHUNKED), *cuts})
        pieces = [
            CHUNKED[start:end]
            for start, end in zip(marks, marks[1:], strict=False)
        ]
        made = self.parse(*pieces)
        self.assertEqual(made.head.status, 200)
        self.assertEqual(made.head.first(b'x-a'), b'b')
        self.assertEqual(made.take(), b'abcde')
        self.assertTrue(made.keeps_connection)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.integers(0, len(CHUNKED) - 1))
    def test_cut_short_is_lost(self, end):
        made = self.parse(*filter(None, [CHUNKED[:end]]))
        self.assertFalse(made.is_whole)
        with self.assertRaises(error.AnswerLostError):
            made.feed(b'')

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.binary(min_size=1))
    def test_raises_only_its_own_error(self, data):
        for start in (b'', b'HTTP/1.1 200 OK\r\n', CHUNKED[:-5]):
            try:
                self.parse(start + data)
            except error.AnswerLostError:
                continue

    def test_body_until_the_end_of_the_stream(self):
        made = self.parse(b'HTTP/1.1 200 OK\r\n\r\nall', b'')
        self.assertEqual((made.take(), made.is_whole), (b'all', True))
        self.assertFalse(made.keeps_connection)

    def test_head_request_has_no_body(self):
        head = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n'
        self.assertTrue(self.parse(head, method='HEAD').is_whole)
        self.assertFalse(self.parse(head).is_whole)

    def test_connection_with_more_than_asked_is_not_kept(self):
        self.assertFalse(self.parse(CHUNKED + b'HTTP').keeps_connection)

    def test_head_is_bounded(self):
        with self.assertRaises(error.AnswerLostError):
            self.parse(b'HTTP/1.1 200 OK\r\n', b'x: ' + b'y' * 70_000)
