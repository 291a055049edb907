"""Admits callers' requests and forwards each to an upstream."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

from quetzalsill.net import deadline
from quetzalsill_gateway import event, meter, unary
from quetzalsill_gateway import exchange as exchange_lib
from quetzalsill_gateway import routing_table as routing_lib
from quetzalsill_gateway.http import message
from quetzalsill_gateway.stream import migration, relay

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway.fleet import upstream
    from quetzalsill_gateway.http import responder as responder_lib

__all__ = ['Gateway']

BEARER = b'bearer '
NOT_FOUND = 404
UNAUTHORIZED = 401
BAD_REQUEST = 400
UNAVAILABLE = 503
# Outcomes by which an upstream has run a request to its end.
ANSWERED = ('served', 'upstream_failed')
GATEWAY_TIMEOUT = 504
# A timeout is answered this long before the caller's deadline, so that the
# response arrives in time.
RESPONSE_MARGIN_S = 0.02


class Gateway:
    """Routes, authenticates and forwards each request."""

    def __init__(self, core: core_lib.Core) -> None:
        self._core = core
        self._migration = migration.Migration(core)
        core.upstreams.on_leaving(self._migration.start)

    async def handle(
        self, req: message.Request, responder: responder_lib.Responder
    ) -> None:
        """Serves one request and logs its outcome."""
        exchange = self._admit(req, responder)
        if (
            exchange is None
            or self._refuse_stopping(exchange)
            or self._refuse_quarantined(exchange)
        ):
            return
        exchange.exit_in_s = self._core.shutdown.left_s()
        limit = deadline.timeout_at(exchange.deadline_s - RESPONSE_MARGIN_S)
        try:
            async with limit:
                with self._core.shutdown.limits(limit):
                    outcome = await self._forward(exchange)
        except TimeoutError:
            is_exit = self._core.shutdown.is_due
            self._core.shutdown.unfinished += is_exit
            outcome = _reply_timeout(exchange, is_exit=is_exit)
        except asyncio.CancelledError:
            self._record_end(exchange, self._cancellation_outcome())
            raise
        self._record_end(exchange, outcome)

    def time_limit_s(
        self, target: bytes | bytearray, headers: message.Fields
    ) -> float:
        """Returns the time in which a request can be served, in seconds.

        0 for one that is not routed.

        Args:
          target: Its path and query.
          headers: Its headers.
        """
        table = self._core.holder.current
        host = message.first(headers, b'host') or b''
        path = bytes(target).partition(b'?')[0]
        route = table.match(host, path) if table else None
        return self._timeout_s(headers, route) if route else 0.0

    def _cancellation_outcome(self) -> str:
        """Returns why a request was cancelled.

        `stopped` if the process has reached its end, else `caller_left`.
        """
        return 'stopped' if self._core.shutdown.is_due else 'caller_left'

    def _refuse_stopping(self, exchange: exchange_lib.Exchange) -> bool:
        """Refuses a request that arrives too late; whether it does."""
        if self._core.shutdown.accepts_requests:
            return False
        _refuse_routed(exchange, 'stopping')
        return True

    def _refuse_quarantined(self, exchange: exchange_lib.Exchange) -> bool:
        """Refuses a request that crashes upstreams; whether it is one."""
        quarantine = self._core.quarantine
        retry_after_s = quarantine.admit(exchange)
        if retry_after_s is None:
            return False
        _refuse_routed(
            exchange,
            'quarantined',
            retry_after_s,
            quarantine.describe(exchange),
        )
        return True

    async def _forward(self, exchange: exchange_lib.Exchange) -> str:
        if exchange.route.kind.is_stream:
            return await relay.forward(self._core, exchange)
        return await unary.forward(self._core, exchange)

    def _admit(
        self, req: message.Request, responder: responder_lib.Responder
    ) -> exchange_lib.Exchange | None:
        """Returns the routed request, or None if it was refused."""
        request_id = message.first(req.headers, self._core.dialect.request_id)
        logged_id = request_id or b''
        table = self._core.holder.current
        if table is None:
            _refuse(
                req, logged_id, responder, UNAVAILABLE, 'no_configuration', 0
            )
            return None
        host = message.first(req.headers, b'host') or b''
        route = table.match(host, req.path)
        if route is None:
            _refuse(
                req, logged_id, responder, NOT_FOUND, 'no_route', table.version
            )
            return None
        account = _find_account(table, route, req)
        if table.accounts is not None and not route.public and account is None:
            version = table.version
            _refuse(
                req, logged_id, responder, UNAUTHORIZED, 'unknown_key', version
            )
            return None
        if not request_id:
            _refuse(
                req, logged_id, responder, BAD_REQUEST, 'no_id', table.version
            )
            return None
        regions = _allowed_regions(route, account)
        service = _choose_service(table, route, self._core.upstreams, regions)
        has_priority = account is not None and account.priority is not None
        return exchange_lib.Exchange(
            request=req,
            responder=responder,
            route=route,
            service=service,
            account=account.name.encode() if account else None,
            request_id=request_id,
            priority=account.priority if has_priority else route.priority,
            deadline_s=req.received_s + self._timeout_s(req.headers, route),
            version=table.version,
            regions=regions,
            read_shared_parts=self._core.dialect.read_shared_parts,
        )

    def _timeout_s(
        self, headers: message.Fields, route: routing_lib.Route
    ) -> float:
        header = message.first(headers, self._core.dialect.deadline_ms)
        if header and header.isdigit():
            return min(route.timeout_s, int(header) / exchange_lib.MS_PER_S)
        return route.timeout_s

    def _record_end(
        self, exchange: exchange_lib.Exchange, outcome: str
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        took_ms = round((now_s - exchange.request.received_s) * 1000, 1)
        kind = exchange.route.kind.value
        headers = exchange.request.headers
        if outcome in ANSWERED and exchange.answered_s is not None:
            self._core.quarantine.record_completion(
                exchange, exchange.answered_s, is_served=outcome == 'served'
            )
        meter.record_request(exchange, outcome, took_ms / 1000)
        event.note(
            event.RequestEnded(
                request=exchange.id_text,
                route=exchange.route.name,
                kind=kind,
                service=exchange.service.name,
                outcome=outcome,
                sends=exchange.sends,
                took_ms=took_ms,
                first_ms=_ms(exchange.first_event_s),
                widest_gap_ms=_ms(exchange.widest_gap_s or None),
                configuration=exchange.version,
                membership=str(self._core.upstreams.revision),
                objective_ms=_ms(exchange.route.objective_s),
                most_gap_ms=_ms(exchange.route.max_gap_s),
                held_ms=_ms(exchange.held_s),
                gap_cause=exchange.gap_cause,
                tokens=exchange.tokens,
                account=(exchange.account or b'').decode(errors='replace'),
                first_request=message.logged(
                    headers, self._core.dialect.resumes
                ),
                resume_after=message.logged(
                    headers, self._core.dialect.resume_after
                ),
                exit_in_ms=_ms(exchange.exit_in_s),
                longest_ms=self._longest_ms(exchange),
                number=exchange.request.number,
            )
        )

    @staticmethod
    def _longest_ms(exchange: exchange_lib.Exchange) -> float | None:
        if exchange.exit_in_s is None or math.isinf(exchange.longest_s):
            return None
        return _ms(exchange.longest_s)


def _ms(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)


def _refuse(
    req: message.Request,
    request_id: bytes,
    responder: responder_lib.Responder,
    status: int,
    reason: str,
    version: int,
    retry_after_s: float = exchange_lib.RETRY_AFTER_S,
    trait: str = '',
) -> None:
    event.note(
        event.RequestRefused(
            request=request_id.decode('latin-1'),
            target=req.target.decode('latin-1'),
            reason=reason,
            status=status,
            configuration=version,
            trait=trait,
        )
    )
    meter.refused.inc({'reason': reason})
    exchange_lib.refuse(
        responder,
        status,
        reason,
        may_retry=status == UNAVAILABLE,
        retry_after_s=retry_after_s,
    )


def _refuse_routed(
    exchange: exchange_lib.Exchange,
    reason: str,
    retry_after_s: float = exchange_lib.RETRY_AFTER_S,
    trait: str = '',
) -> None:
    """Refuses a request that has its route, and that has not run."""
    _refuse(
        exchange.request,
        exchange.request_id,
        exchange.responder,
        UNAVAILABLE,
        reason,
        exchange.version,
        retry_after_s,
        trait,
    )


def _reply_timeout(exchange: exchange_lib.Exchange, *, is_exit: bool) -> str:
    """Ends a request whose time is up; returns its outcome for the log.

    Args:
      exchange: The request.
      is_exit: Whether the process exits, and the caller still has time.
    """
    responder = exchange.responder
    if responder.started:
        responder.abort()
        return 'stopped' if is_exit else 'cut_at_deadline'
    if exchange.may_have_run:
        reason = 'stopping' if is_exit else 'timeout'
        exchange_lib.refuse(responder, GATEWAY_TIMEOUT, reason)
        return 'stopped' if is_exit else 'timeout'
    reason = 'stopping' if is_exit else 'not_sent'
    exchange_lib.refuse(responder, UNAVAILABLE, reason, may_retry=True)
    return 'not_sent'


def _find_account(
    table: routing_lib.RoutingTable,
    route: routing_lib.Route,
    req: message.Request,
) -> routing_lib.ClientAccount | None:
    if table.accounts is None or route.public:
        return None
    value = message.first(req.headers, b'authorization') or b''
    if not value.lower().startswith(BEARER):
        return None
    return table.accounts.get(value[len(BEARER) :].strip())


def _allowed_regions(
    route: routing_lib.Route, account: routing_lib.ClientAccount | None
) -> frozenset[str] | None:
    """Returns the regions allowed by both route and account; None for any."""
    account_regions = account.regions if account else None
    if route.regions is None or account_regions is None:
        return route.regions or account_regions
    return route.regions & account_regions


def _choose_service(
    table: routing_lib.RoutingTable,
    route: routing_lib.Route,
    upstreams: upstream.Upstreams,
    regions: frozenset[str] | None,
) -> routing_lib.Service:
    """Chooses one of the route's services at random by weight.

    Only services with an available upstream are considered, unless there is
    none.
    """
    available = [
        target
        for target in route.targets
        if target.weight and upstreams.available(target.service, regions)
    ]
    targets = available or list(route.targets)
    weights = [target.weight or 1e-9 for target in targets]
    name = random.choices(targets, weights)[0].service
    return table.services.get(name) or routing_lib.Service(name)
