"""News as gateways of the release before tell it: versions without epochs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quetzalsill_gateway.peers import frame, update_codec

if TYPE_CHECKING:
    from quetzalsill_gateway.watch import news as news_lib

__all__ = ['KINDS', 'flatten']

KINDS = {
    frame.Kind.MEMBERSHIP: frame.Kind.LEGACY_MEMBERSHIP,
    frame.Kind.CONFIGURATION: frame.Kind.LEGACY_CONFIGURATION,
}


def flatten(node: str, update: news_lib.News) -> bytes:
    """Returns the datagram in which such a gateway tells news."""
    kind, fields = frame.unpack(update_codec.encode(node, update))
    if kind is frame.Kind.CONFIGURATION:
        node, revision, number, patch, drains, is_echo, *_ = fields
        orders = [(zone, _version(at), is_on) for zone, at, is_on in drains]
        flat = (node, _version(revision), number, patch, orders, is_echo)
    else:
        node, since, revision, lapses_s, changes, is_echo = fields
        entries = [(name, _version(at), *rest) for name, at, *rest in changes]
        flat = (
            node,
            _version(since),
            _version(revision),
            lapses_s,
            entries,
            is_echo,
        )
    return frame.pack(KINDS[kind], flat)


def _version(revision: Any) -> int:
    _, version = revision
    return version
