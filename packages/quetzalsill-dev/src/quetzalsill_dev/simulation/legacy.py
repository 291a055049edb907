"""Updates in the format of the previous release: versions without epochs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from quetzalsill_gateway.peers import frame, update_codec

if TYPE_CHECKING:
    from quetzalsill_gateway.watch import update as update_lib

__all__ = ['DATAGRAM_KINDS', 'encode']

DATAGRAM_KINDS = {
    frame.Kind.VERSIONED_MEMBERSHIP: frame.Kind.LEGACY_MEMBERSHIP,
    frame.Kind.CONFIGURATION: frame.Kind.LEGACY_CONFIGURATION,
}


def encode(node: str, update: update_lib.Update) -> bytes:
    """Returns the datagram of an update in the format of that release."""
    kind, fields = frame.unpack(update_codec.encode(node, update))
    if kind is frame.Kind.CONFIGURATION:
        node, revision, number, patch, drains, is_repeat, *_ = fields
        orders = [
            (zone, _version(written), is_on) for zone, written, is_on in drains
        ]
        legacy_fields = (
            node,
            _version(revision),
            number,
            patch,
            orders,
            is_repeat,
        )
    else:
        node, since, revision, grace_s, changes, is_repeat = fields
        # The last field of an entry is its software version.
        entries = [
            (name, _version(changed), *(rest if len(rest) == 1 else rest[:-1]))
            for name, changed, *rest in changes
        ]
        legacy_fields = (
            node,
            _version(since),
            _version(revision),
            grace_s,
            entries,
            is_repeat,
        )
    return frame.pack(DATAGRAM_KINDS[kind], legacy_fields)


def _version(revision: Any) -> int:
    _, version = revision
    return version
