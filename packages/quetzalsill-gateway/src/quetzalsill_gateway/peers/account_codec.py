"""Encodes and decodes what gateways announce of the use of client accounts."""

from __future__ import annotations

from typing import Any

from quetzalsill_gateway.fleet import account_usage
from quetzalsill_gateway.peers import frame

__all__ = ['decode', 'encode']


def encode(node: str, update: account_usage.AccountUpdate) -> bytes:
    """Returns the datagram for the use that the gateway `node` announces."""
    items = [(one.account, one.tokens, one.waiting) for one in update.items]
    return frame.pack(frame.Kind.ACCOUNTS, (node, items))


def decode(fields: list[Any]) -> account_usage.AccountUpdate:
    """Returns the use in the fields of a datagram.

    Raises:
      ValueError, TypeError, LookupError: The fields are malformed.
    """
    node, items = fields
    if not isinstance(items, list) or len(items) > account_usage.MAX_ITEMS:
        raise ValueError('no list of accounts, or too many')
    return account_usage.AccountUpdate(
        tuple(_item(*one) for one in items), frame.bounded_key(node)
    )


def _item(account: Any, tokens: Any, waiting: Any) -> account_usage.Item:
    if (
        not isinstance(account, bytes)
        or len(account) > account_usage.MAX_NAME_BYTES
    ):
        raise ValueError('invalid name of an account')
    return account_usage.Item(account, _tokens(tokens), _tokens(waiting))


def _tokens(value: Any) -> int:
    # A bool is an int in Python.
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'tokens are no integer: {type(value)}')
    if not 0 <= value <= account_usage.MAX_TOKENS:
        raise ValueError('tokens out of range')
    return value
