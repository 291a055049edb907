"""Encodes and decodes answers of engines whose entry is missing."""

from __future__ import annotations

from typing import Any

from quetzalsill_gateway.peers import frame
from quetzalsill_gateway.watch import lapsed_engines

__all__ = ['decode', 'encode']

# A notice is sent as such (`peers.notice_codec`).
CODES = {
    lapsed_engines.Outcome.NO_ANSWER: 0,
    lapsed_engines.Outcome.SERVING: 1,
}
OUTCOMES = {code: outcome for outcome, code in CODES.items()}


def encode(node: str, update: lapsed_engines.AnswerUpdate) -> bytes:
    """Returns the datagram for an answer that the gateway `node` got."""
    fields = (node, update.key, CODES[update.outcome])
    return frame.pack(frame.Kind.LAPSED, fields)


def decode(fields: list[Any]) -> lapsed_engines.AnswerUpdate:
    """Returns the answer in the fields of a datagram.

    Raises:
      ValueError, TypeError, LookupError: The fields are malformed.
    """
    node, key, code = fields
    if type(code) is not int:
        raise TypeError(f'invalid answer: {type(code)}')
    return lapsed_engines.AnswerUpdate(
        frame.bounded_key(key), OUTCOMES[code], str(node)
    )
