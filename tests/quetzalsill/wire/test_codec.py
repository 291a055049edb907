"""Tests of the codec and of frames: bad input raises only typed errors."""

from __future__ import annotations

import unittest

import hypothesis
import msgpack
from hypothesis import strategies as st

from quetzalsill.wire import codec, error, frame, message
from tests.quetzalsill.wire import messages

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200
)


class CodecTest(unittest.TestCase):
    """Encoding and decoding of messages."""

    @SETTINGS
    @hypothesis.given(messages.MESSAGES)
    def test_round_trip(self, msg):
        back = codec.decode(codec.encode(msg))
        self.assertEqual(back, msg)

    def test_every_class_has_a_number_of_its_own(self):
        classes = set(message.Message.__subclasses__())
        self.assertEqual(classes, set(message.BY_NUMBER.values()))

    @SETTINGS
    @hypothesis.given(st.binary(max_size=200))
    def test_arbitrary_bytes(self, body):
        self._decode(body)

    @SETTINGS
    @hypothesis.given(messages.MESSAGES, st.data())
    def test_mutated_frames(self, msg, data):
        body = bytearray(codec.encode(msg))
        for _ in range(data.draw(st.integers(1, 4))):
            body[data.draw(st.integers(0, len(body) - 1))] = data.draw(
                st.integers(0, 255)
            )
        cut = data.draw(st.integers(0, len(body)))
        self._decode(bytes(body))
        self._decode(bytes(body[:cut]))

    @SETTINGS
    @hypothesis.given(messages.MESSAGES, st.data())
    def test_a_field_of_another_type_is_refused(self, msg, data):
        parts = msgpack.unpackb(codec.encode(msg))
        index = data.draw(st.integers(1, len(parts) - 1))
        parts[index] = None
        with self.assertRaises(error.MalformedFrameError):
            codec.decode(msgpack.packb(parts))
        with self.assertRaises(error.MalformedFrameError):
            codec.decode(msgpack.packb([*parts, 0]))

    def test_elements_of_lists_are_checked(self):
        for parts in (
            [9, 'a', 0, [b'x', 'y']],
            [8, 'a', 200, [['name']]],
            [8, 'a', 200, [['name', 1]]],
        ):
            with self.assertRaises(error.MalformedFrameError):
                codec.decode(msgpack.packb(parts))

    def test_unknown_number(self):
        with self.assertRaises(error.UnknownMessageError):
            codec.decode(msgpack.packb([250]))

    def test_nested_array_headers_are_refused(self):
        """One frame of 2 KB exhausts the memory of the process.

        Each of 400 nested array headers announces 2^32 - 1 items; an unpacker
        that preallocates them requests gigabytes.
        """
        with self.assertRaises(error.MalformedFrameError):
            codec.decode(b'\xdd\xff\xff\xff\xff' * 400)

    def test_what_cannot_be_encoded_is_a_typed_error(self):
        with self.assertRaises(error.MalformedFrameError):
            codec.encode(message.Ack('\ud800'))
        with self.assertRaises(error.MalformedFrameError):
            codec.encode(message.Ping(2**70, 0))

    def _decode(self, body):
        try:
            msg = codec.decode(body)
        except error.WireError:
            return
        self.assertIsInstance(msg, message.Message)


class FrameTest(unittest.TestCase):
    """Splitting a byte stream into frames."""

    @SETTINGS
    @hypothesis.given(
        st.lists(st.binary(max_size=30), max_size=6),
        st.integers(1, 9),
    )
    def test_bodies_survive_any_split(self, bodies, step):
        stream = b''.join(map(frame.pack, bodies))
        splitter = frame.Splitter()
        pieces = (stream[at : at + step] for at in range(0, len(stream), step))
        found = [body for piece in pieces for body in splitter.feed(piece)]
        self.assertEqual(found, bodies)

    def test_oversize_is_refused_at_its_length(self):
        splitter = frame.Splitter()
        with self.assertRaises(error.OversizeFrameError):
            list(splitter.feed((frame.MAX_BODY_BYTES + 1).to_bytes(4, 'big')))
        with self.assertRaises(error.OversizeFrameError):
            frame.pack(bytes(frame.MAX_BODY_BYTES + 1))


if __name__ == '__main__':
    unittest.main()
