"""News of the sources, and its form in a datagram.

Revisions go as epoch and version. Gateways of the release before tell bare
versions; they are of epoch 0, so that in a later one their news is older than
all that is known.
"""

from __future__ import annotations

from typing import Any

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import revision as revision_lib
from quetzalsill_gateway.fleet import upstream, zones
from quetzalsill_gateway.peers import frame
from quetzalsill_gateway.watch import update as update_lib

__all__ = ['decode', 'encode']

PORTS = range(1, 65536)
MAX_LAPSE_S = 60.0
# Of a document, in bytes; longer ones are none.
MAX_DIGEST_BYTES = 16


def encode(node: str, told: update_lib.Update) -> bytes:
    """Returns the datagram in which a gateway tells news."""
    if isinstance(told, update_lib.ConfigurationUpdate):
        drains = [
            (one.zone, _pair(one.revision), one.is_on) for one in told.drains
        ]
        fields = (
            node,
            _pair(told.revision),
            told.number,
            told.patch,
            drains,
            told.is_repeat,
            _pair(told.mod_revision),
            told.digest,
        )
        return frame.pack(frame.Kind.CONFIGURATION, fields)
    changes = [_fields(change) for change in told.changes]
    fields = (
        node,
        _pair(told.since),
        _pair(told.revision),
        told.grace_s,
        changes,
        told.is_repeat,
    )
    return frame.pack(frame.Kind.MEMBERSHIP, fields)


def decode(
    kind: frame.Kind, fields: list[Any]
) -> tuple[str, update_lib.Update]:
    """Returns the gateway that tells, and its news.

    Raises:
      error.PeerError: The fields hold none.
    """
    try:
        if kind is frame.Kind.LEGACY_CONFIGURATION:
            found = _plain_configuration(*fields)
        elif kind is frame.Kind.CONFIGURATION:
            found = _configuration(*fields)
        elif kind is frame.Kind.LEGACY_MEMBERSHIP:
            found = _plain_membership(*fields)
        else:
            found = _membership(*fields)
    except frame.DECODE_ERRORS as exc:
        raise error.PeerError(f'no news: {exc!r}') from exc
    return found.sender, found


def _configuration(
    node: Any,
    revision: Any,
    number: Any,
    patch: Any,
    drains: Any,
    is_echo: Any,
    written: Any = (0, 0),
    digest: Any = b'',
) -> update_lib.ConfigurationUpdate:
    newest = frame.bounded_revision(revision)
    if not isinstance(patch, bytes):
        raise TypeError(f'patch {type(patch)}')
    if not isinstance(digest, bytes) or len(digest) > MAX_DIGEST_BYTES:
        raise TypeError(f'digest {type(digest)}')
    return update_lib.ConfigurationUpdate(
        newest,
        frame.bounded_count(number),
        patch,
        tuple(_drain(newest, *entry) for entry in drains),
        bool(is_echo),
        min(newest, frame.bounded_revision(written)),
        digest,
        str(node),
    )


def _membership(
    node: Any,
    since: Any,
    revision: Any,
    lapses_s: Any,
    changes: Any,
    is_echo: Any,
) -> update_lib.MembershipUpdate:
    return update_lib.MembershipUpdate(
        frame.bounded_revision(since),
        frame.bounded_revision(revision),
        tuple(_change(*change) for change in changes),
        min(MAX_LAPSE_S, max(0.0, float(lapses_s))),
        bool(is_echo),
        str(node),
    )


def _plain_configuration(
    node: Any,
    version: Any,
    number: Any,
    patch: Any,
    drains: Any,
    is_echo: Any,
) -> update_lib.ConfigurationUpdate:
    orders = [(zone, (0, told), is_on) for zone, told, is_on in drains]
    return _configuration(node, (0, version), number, patch, orders, is_echo)


def _plain_membership(
    node: Any,
    since: Any,
    version: Any,
    lapses_s: Any,
    changes: Any,
    is_echo: Any,
) -> update_lib.MembershipUpdate:
    entries = [(name, (0, told), *rest) for name, told, *rest in changes]
    return _membership(
        node, (0, since), (0, version), lapses_s, entries, is_echo
    )


def _pair(revision: revision_lib.Revision) -> tuple[int, int]:
    return revision.epoch, revision.version


def _drain(
    newest: revision_lib.Revision, zone: Any, told: Any, is_on: Any
) -> zones.Drain:
    name, revision = str(zone), frame.bounded_revision(told)
    if revision > newest:
        raise ValueError(f'drain at {revision}, news at {newest}')
    if not name or len(name) > zones.MAX_NAME_LENGTH:
        raise ValueError('no name of a zone')
    return zones.Drain(name, revision, bool(is_on))


def _fields(change: upstream.Change) -> tuple[Any, ...]:
    head = (change.id, _pair(change.revision))
    found = change.upstream
    if found is None:
        return (*head, change.may_have_lapsed)
    return (
        *head,
        found.service,
        *found.address,
        found.availability_zone,
        found.slots,
        found.leaving,
        found.incarnation,
        found.warmup_s,
    )


def _change(name: Any, told: Any, *rest: Any) -> upstream.Change:
    revision = frame.bounded_revision(told)
    if len(rest) == 1:
        [may_have_lapsed] = rest
        return upstream.Change(str(name), revision, None, bool(may_have_lapsed))
    service, host, port, zone, slots, leaving, incarnation, warmup_s = rest
    if port not in PORTS:
        raise ValueError(f'port {port!r}')
    found = upstream.Upstream(
        id=str(name),
        service=str(service),
        address=(str(host), port),
        availability_zone=str(zone),
        slots=max(1, frame.bounded_count(slots)),
        leaving=bool(leaving),
        incarnation=frame.bounded_count(incarnation),
        warmup_s=upstream.bounded_warmup_s(warmup_s),
    )
    return upstream.Change(str(name), revision, found)
