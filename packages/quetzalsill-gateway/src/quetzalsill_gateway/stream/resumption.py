"""Decides where a stream that a caller takes up may continue.

A caller whose connection broke comes back, to any gateway, with the id of the
last event that it has and the id of the request that brought its first one.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_gateway import event, meter, routing_table
from quetzalsill_gateway.fleet import stream_origins
from quetzalsill_gateway.http import message

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway.fleet import software_versions

__all__ = ['Refused', 'Start', 'record_origin', 'resolve']

# An id that is longer was not assigned by a caller of this system.
MAX_ID_BYTES = 200
# A stream and its caller's tries end within this multiple of the route's
# timeout, which bounds each try.
LIFETIMES = 2.0
# Another gateway, or this one with an answer, may know the origin soon.
UNKNOWN_RETRY_S = 0.2
# Time in which an upstream that crashed is replaced by one of its version.
UNAVAILABLE_RETRY_S = 1.0
RETRY_AFTER_SHARE = 0.33


@dataclasses.dataclass(slots=True, frozen=True)
class Start:
    """How a stream begins at this gateway.

    Attributes:
      key: Identifies the stream over its caller's tries.
      origin: What generated its first event; None if the caller has no event.
    """

    key: bytes
    origin: software_versions.Origin | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """Why a stream cannot continue.

    Attributes:
      reason: `unknown_origin`: nobody knows what began it, and it may have been
        another version than those that serve; `no_upstream_of_version`: none
        that takes new work may continue it.
      retry_after_s: Value of Retry-After, in seconds.
    """

    reason: str
    retry_after_s: float


async def resolve(
    core: core_lib.Core, req: exchange_lib.Exchange
) -> Start | Refused:
    """Returns how a stream begins, after asking other gateways if necessary.

    Sets the service of the request to the one that began the stream.
    """
    dialect, headers = core.dialect, req.request.headers
    if not message.first(headers, dialect.resume_after):
        # The caller has no event, so any version will do.
        return Start(_key(req, req.request_id))
    named = set(message.values(headers, dialect.resumes))
    first_id = named.pop() if len(named) == 1 else b''
    if len(first_id) > MAX_ID_BYTES:
        first_id = b''
    key = _key(req, first_id)
    origin = await _find_origin(core, req, key if first_id else None)
    if origin is None:
        return _refuse(core, req, 'unknown_origin', UNKNOWN_RETRY_S)
    if not _select_service(core, req, origin):
        return _refuse(core, req, 'unknown_origin', UNAVAILABLE_RETRY_S)
    versions = core.upstreams.versions
    available = core.upstreams.available(origin.service, req.regions)
    if available and not any(
        versions.may_continue(origin, one) for one in available
    ):
        return _refuse(
            core,
            req,
            'no_upstream_of_version',
            UNAVAILABLE_RETRY_S,
            origin.version,
        )
    return Start(key if first_id else _key(req, req.request_id), origin)


def record_origin(
    core: core_lib.Core,
    req: exchange_lib.Exchange,
    start: Start,
    origin: software_versions.Origin,
) -> None:
    """Records the origin of a stream before its caller gets an event."""
    if req.route.kind.may_repeat:
        core.origins.record(start.key, origin, LIFETIMES * req.route.timeout_s)


def lifetime_s(table: routing_table.RoutingTable | None) -> float | None:
    """Returns how long the longest stream may be taken up, in seconds.

    None without a configuration.
    """
    if table is None:
        return None
    timeouts_s = [
        route.timeout_s
        for routes in table.routes.values()
        for route in routes
        if route.kind.is_stream
    ]
    return LIFETIMES * max(timeouts_s, default=0.0)


def _key(req: exchange_lib.Exchange, request_id: bytes) -> bytes:
    return stream_origins.compute_key(req.account, request_id)


async def _find_origin(
    core: core_lib.Core, req: exchange_lib.Exchange, key: bytes | None
) -> software_versions.Origin | None:
    """Returns the origin of a stream, None if it is not known for sure.

    Args:
      core: State of the gateway.
      req: The request that takes it up.
      key: Key of the stream; None if the request names none.
    """
    service = req.service.name
    versions, origins = core.upstreams.versions, core.origins

    def known() -> tuple[software_versions.Origin | None, str]:
        found = origins.get(key) if key is not None else None
        if found is None and core.is_view_confirmed():
            return versions.only(service), 'only_version'
        return found, 'record'

    found, grounds = known()
    if found is None and (key is not None or not versions.has_several(service)):
        await origins.find(key or _key(req, b''), service)
        found, grounds = known()
    if found is not None:
        _note_origin(core, req, found, grounds)
    return found


def _note_origin(
    core: core_lib.Core,
    req: exchange_lib.Exchange,
    origin: software_versions.Origin,
    grounds: str,
) -> None:
    event.note(
        event.StreamOriginFound(
            request=req.id_text,
            first_request=message.logged(
                req.request.headers, core.dialect.resumes
            ),
            service=origin.service,
            software_version=origin.version,
            grounds=grounds,
        )
    )


def _select_service(
    core: core_lib.Core,
    req: exchange_lib.Exchange,
    origin: software_versions.Origin,
) -> bool:
    """Sets the service of a request, if its route still leads there."""
    if req.service.name == origin.service:
        return True
    table = core.holder.current
    targets = {target.service for target in req.route.targets}
    if table is None or origin.service not in targets:
        return False
    req.service = table.services.get(
        origin.service, routing_table.Service(origin.service)
    )
    return True


def _refuse(
    core: core_lib.Core,
    req: exchange_lib.Exchange,
    reason: str,
    retry_after_s: float,
    version: str = '',
) -> Refused:
    dialect, headers = core.dialect, req.request.headers
    meter.not_resumed.inc({'reason': reason})
    event.note(
        event.StreamNotResumed(
            request=req.id_text,
            first_request=message.logged(headers, dialect.resumes),
            service=req.service.name,
            reason=reason,
            software_version=version,
            versions=','.join(
                sorted(core.upstreams.versions.names(req.service.name))
            ),
        )
    )
    return Refused(
        reason, min(retry_after_s, RETRY_AFTER_SHARE * req.remaining_s)
    )
