"""Encodes and decodes updates of gateways in datagrams.

A revision is sent as epoch and version. Gateways of the previous release send
versions only, which get epoch 0, so that in any later epoch their updates are
older than everything known.
"""

from __future__ import annotations

from typing import Any

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import (
    account_usage,
    engine_speed,
    server_limits,
    shutdown_notices,
    stream_origins,
    upstream,
    zones,
)
from quetzalsill_gateway.fleet import revision as revision_lib
from quetzalsill_gateway.peers import (
    account_codec,
    frame,
    lapse_codec,
    limit_codec,
    notice_codec,
    origin_codec,
    quarantine_codec,
    speed_codec,
    version_codec,
)
from quetzalsill_gateway.quarantine import update as quarantine_update
from quetzalsill_gateway.watch import lapsed_engines, version_rows
from quetzalsill_gateway.watch import update as update_lib

__all__ = ['PeerUpdate', 'decode', 'encode']

PeerUpdate = (
    update_lib.Update
    | quarantine_update.QuarantineUpdate
    | server_limits.LimitUpdate
    | shutdown_notices.NoticeUpdate
    | account_usage.AccountUpdate
    | engine_speed.SpeedUpdate
    | lapsed_engines.AnswerUpdate
    | stream_origins.OriginUpdate
    | origin_codec.OriginQuery
    | origin_codec.OriginAnswer
    | origin_codec.VersionsUpdate
    | version_rows.StoredUpdate
)

PORTS = range(1, 65536)
MAX_GRACE_S = 60.0
# A longer digest of a document is invalid.
MAX_DIGEST_BYTES = 16


def encode(node: str, update: PeerUpdate) -> bytes:
    """Returns the datagram for an update of the gateway `node`."""
    if isinstance(update, quarantine_update.QuarantineUpdate):
        return quarantine_codec.encode(node, update)
    if isinstance(update, server_limits.LimitUpdate):
        return limit_codec.encode(node, update)
    if isinstance(update, shutdown_notices.NoticeUpdate):
        return notice_codec.encode(node, update)
    if isinstance(update, account_usage.AccountUpdate):
        return account_codec.encode(node, update)
    if isinstance(update, engine_speed.SpeedUpdate):
        return speed_codec.encode(node, update)
    if isinstance(update, lapsed_engines.AnswerUpdate):
        return lapse_codec.encode(node, update)
    if isinstance(update, version_rows.StoredUpdate):
        return version_codec.encode(node, update)
    if isinstance(update, origin_codec.UPDATES):
        return origin_codec.encode(node, update)
    if isinstance(update, update_lib.ConfigurationUpdate):
        drains = [
            (drain.zone, _pair(drain.revision), drain.is_on)
            for drain in update.drains
        ]
        fields = (
            node,
            _pair(update.revision),
            update.number,
            update.patch,
            drains,
            update.is_repeat,
            _pair(update.mod_revision),
            update.digest,
        )
        return frame.pack(frame.Kind.CONFIGURATION, fields)
    changes = [_fields(change) for change in update.changes]
    fields = (
        node,
        _pair(update.since),
        _pair(update.revision),
        update.grace_s,
        changes,
        update.is_repeat,
    )
    return frame.pack(frame.Kind.VERSIONED_MEMBERSHIP, fields)


def decode(kind: frame.Kind, fields: list[Any]) -> tuple[str, PeerUpdate]:
    """Returns the sending gateway and its update.

    Raises:
      error.PeerError: The fields are malformed.
    """
    try:
        if kind is frame.Kind.LEGACY_CONFIGURATION:
            found = _legacy_configuration(*fields)
        elif kind is frame.Kind.CONFIGURATION:
            found = _configuration(*fields)
        elif kind is frame.Kind.LEGACY_MEMBERSHIP:
            found = _legacy_membership(*fields)
        elif kind is frame.Kind.QUARANTINE:
            found = quarantine_codec.decode(fields)
        elif kind is frame.Kind.LIMITS:
            found = limit_codec.decode(fields)
        elif kind is frame.Kind.NOTICES:
            found = notice_codec.decode(fields)
        elif kind is frame.Kind.ACCOUNTS:
            found = account_codec.decode(fields)
        elif kind is frame.Kind.SPEEDS:
            found = speed_codec.decode(fields)
        elif kind is frame.Kind.LAPSED:
            found = lapse_codec.decode(fields)
        elif kind is frame.Kind.STORED_VERSIONS:
            found = version_codec.decode(fields)
        elif kind in origin_codec.DECODERS:
            found = origin_codec.DECODERS[kind](fields)
        else:
            found = _membership(*fields)
    except frame.DECODE_ERRORS as exc:
        raise error.PeerError(f'malformed update: {exc!r}') from exc
    return found.sender, found


def _configuration(
    node: Any,
    revision: Any,
    number: Any,
    patch: Any,
    drains: Any,
    is_repeat: Any,
    written: Any = (0, 0),
    digest: Any = b'',
) -> update_lib.ConfigurationUpdate:
    newest = frame.bounded_revision(revision)
    if not isinstance(patch, bytes):
        raise TypeError(f'invalid patch: {type(patch)}')
    if not isinstance(digest, bytes) or len(digest) > MAX_DIGEST_BYTES:
        raise TypeError(f'invalid digest: {type(digest)}')
    return update_lib.ConfigurationUpdate(
        newest,
        frame.bounded_count(number),
        patch,
        tuple(_drain(newest, *entry) for entry in drains),
        bool(is_repeat),
        min(newest, frame.bounded_revision(written)),
        digest,
        str(node),
    )


def _membership(
    node: Any,
    since: Any,
    revision: Any,
    grace_s: Any,
    changes: Any,
    is_repeat: Any,
) -> update_lib.MembershipUpdate:
    return update_lib.MembershipUpdate(
        frame.bounded_revision(since),
        frame.bounded_revision(revision),
        tuple(_change(*change) for change in changes),
        min(MAX_GRACE_S, max(0.0, float(grace_s))),
        bool(is_repeat),
        str(node),
    )


def _legacy_configuration(
    node: Any,
    version: Any,
    number: Any,
    patch: Any,
    drains: Any,
    is_repeat: Any,
) -> update_lib.ConfigurationUpdate:
    orders = [(zone, (0, at), is_on) for zone, at, is_on in drains]
    return _configuration(node, (0, version), number, patch, orders, is_repeat)


def _legacy_membership(
    node: Any,
    since: Any,
    version: Any,
    grace_s: Any,
    changes: Any,
    is_repeat: Any,
) -> update_lib.MembershipUpdate:
    entries = [(name, (0, at), *rest) for name, at, *rest in changes]
    return _membership(
        node, (0, since), (0, version), grace_s, entries, is_repeat
    )


def _pair(revision: revision_lib.Revision) -> tuple[int, int]:
    return revision.epoch, revision.version


def _drain(
    newest: revision_lib.Revision, zone: Any, at: Any, is_on: Any
) -> zones.Drain:
    name, revision = str(zone), frame.bounded_revision(at)
    if revision > newest:
        raise ValueError(f'drain at {revision}, update at {newest}')
    if not name or len(name) > zones.MAX_NAME_LENGTH:
        raise ValueError('invalid zone name')
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
        found.software_version,
    )


def _change(name: Any, at: Any, *rest: Any) -> upstream.Change:
    revision = frame.bounded_revision(at)
    if len(rest) == 1:
        [may_have_lapsed] = rest
        return upstream.Change(str(name), revision, None, bool(may_have_lapsed))
    # Gateways of the previous release send no software version.
    *known, warmup_s, software_version = rest if len(rest) > 8 else (*rest, '')
    service, host, port, zone, slots, leaving, incarnation = known
    if port not in PORTS:
        raise ValueError(f'invalid port {port!r}')
    found = upstream.Upstream(
        id=str(name),
        service=str(service),
        address=(str(host), port),
        availability_zone=str(zone),
        slots=max(1, frame.bounded_count(slots)),
        leaving=bool(leaving),
        incarnation=frame.bounded_count(incarnation),
        warmup_s=upstream.bounded_warmup_s(warmup_s),
        software_version=frame.bounded_text(
            software_version, upstream.MAX_VERSION_LENGTH
        ),
    )
    return upstream.Change(str(name), revision, found)
