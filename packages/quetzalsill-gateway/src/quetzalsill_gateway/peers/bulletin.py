"""News of the sources, and its form in a datagram."""

from __future__ import annotations

from typing import Any

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import upstream, zones
from quetzalsill_gateway.peers import frame
from quetzalsill_gateway.watch import news as news_lib

__all__ = ['decode', 'encode']

PORTS = range(1, 65536)
MOST_LAPSE_S = 60.0


def encode(node: str, told: news_lib.News) -> bytes:
    """Returns the datagram in which a gateway tells news."""
    if isinstance(told, news_lib.ConfigurationNews):
        drains = [(one.zone, one.version, one.is_on) for one in told.drains]
        fields = (
            node,
            told.version,
            told.configuration,
            told.patch,
            drains,
            told.is_echo,
        )
        return frame.pack(frame.Kind.CONFIGURATION, fields)
    changes = [_plain(change) for change in told.changes]
    fields = (
        node,
        told.since,
        told.version,
        told.lapses_s,
        changes,
        told.is_echo,
    )
    return frame.pack(frame.Kind.MEMBERSHIP, fields)


def decode(kind: frame.Kind, fields: list[Any]) -> tuple[str, news_lib.News]:
    """Returns the gateway that tells, and its news.

    Raises:
      error.PeerError: The fields hold none.
    """
    try:
        if kind is frame.Kind.CONFIGURATION:
            node, version, number, patch, drains, is_echo = fields
            version = frame.count(version)
            if not isinstance(patch, bytes):
                raise TypeError(f'patch {type(patch)}')
            return str(node), news_lib.ConfigurationNews(
                version,
                frame.count(number),
                patch,
                tuple(_drain(version, *entry) for entry in drains),
                bool(is_echo),
            )
        node, since, version, lapses_s, changes, is_echo = fields
        return str(node), news_lib.MembershipNews(
            frame.count(since),
            frame.count(version),
            tuple(_change(*change) for change in changes),
            min(MOST_LAPSE_S, max(0.0, float(lapses_s))),
            bool(is_echo),
        )
    except frame.MALFORMED as exc:
        raise error.PeerError(f'no news: {exc!r}') from exc


def _drain(newest: int, zone: str, version: int, is_on: bool) -> zones.Drain:
    name, version = str(zone), frame.count(version)
    if version > newest:
        raise ValueError(f'drain at {version}, news at {newest}')
    if not name or len(name) > zones.MOST_NAME:
        raise ValueError('no name of a zone')
    return zones.Drain(name, version, bool(is_on))


def _plain(change: upstream.Change) -> tuple[Any, ...]:
    head = (change.id, change.version)
    found = change.upstream
    if found is None:
        return (*head, change.lapses)
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


def _change(name: str, version: int, *rest: Any) -> upstream.Change:
    if len(rest) == 1:
        [lapses] = rest
        return upstream.Change(name, frame.count(version), None, bool(lapses))
    service, host, port, zone, slots, leaving, incarnation, warmup_s = rest
    if port not in PORTS:
        raise ValueError(f'port {port!r}')
    found = upstream.Upstream(
        id=str(name),
        service=str(service),
        address=(str(host), port),
        availability_zone=str(zone),
        slots=max(1, frame.count(slots)),
        leaving=bool(leaving),
        incarnation=frame.count(incarnation),
        warmup_s=upstream.bounded_warmup_s(warmup_s),
    )
    return upstream.Change(str(name), frame.count(version), found)
