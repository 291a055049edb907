"""Detects that an upstream has crashed, from the connections to it.

A response that breaks off does not show it: an upstream also resets single
connections. Evidence is that the address refuses connections afterwards, or
that another process answers there. A connection that is not accepted in time
shows nothing, since it looks the same behind a network partition.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING

from quetzalsill_gateway import event
from quetzalsill_gateway.http import call, error
from quetzalsill_gateway.quarantine import evidence

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.http import pool
    from quetzalsill_gateway.quarantine import in_flight

__all__ = ['Detector', 'OnCrash']

OnCrash = Callable[[evidence.Crash], None]

# A process that ends closes all of its connections within this time.
CLOSE_S = 0.005
CONNECT_TIMEOUT_S = 0.12
# Delays before looking again while there is no answer.
RETRY_DELAYS_S = (0.0, 0.1, 0.4, 1.0)
# The entry of a crashed upstream expires, and the process that replaces it
# registers, within this time.
WATCH_S = 8.0
WATCH_POLL_S = 0.25
MAX_LABEL_LENGTH = 120
MAX_LISTED_PARTS = 8
MAX_PART_LENGTH = 32


@dataclasses.dataclass(slots=True)
class _Suspicion:
    """An upstream that may have crashed.

    Attributes:
      upstream: The upstream.
      crash: The crash, if it was one.
      parts: Shared parts of the requests that were running, by fingerprint.
      is_confirmed: Whether it was one.
      check: Connects to the address.
      watch: Waits for other evidence.
    """

    upstream: upstream_lib.Upstream
    crash: evidence.Crash
    parts: dict[bytes, str] = dataclasses.field(default_factory=dict)
    is_confirmed: bool = False
    check: asyncio.Task[None] | None = None
    watch: asyncio.Task[None] | None = None

    @property
    def is_refuted(self) -> bool:
        """Whether the upstream still accepted connections."""
        return not self.is_confirmed and self.check.done()


class Detector:
    """Looks for evidence of a crash when a response breaks off."""

    def __init__(
        self,
        conns: pool.Pool,
        upstreams: upstream_lib.Upstreams,
        on_crash: OnCrash,
    ) -> None:
        """Starts without suspicions.

        Args:
          conns: Connections to upstreams.
          upstreams: Known upstreams.
          on_crash: Called when a crash is confirmed, and again with each
            request that is found to have been running.
        """
        self._conns = conns
        self._upstreams = upstreams
        self._on_crash = on_crash
        self._suspicions: dict[str, _Suspicion] = {}

    def is_checking(self, fingerprint: bytes) -> bool:
        """Whether a request broke off and it is not known yet why."""
        return any(
            fingerprint in one.crash.suspects and not one.is_confirmed
            for one in self._suspicions.values()
            if one.check is not None and not one.check.done()
        )

    def record_broken(self, run: in_flight.Run) -> None:
        """Records that the response to a request broke off."""
        # An upstream that is leaving ends without a crash.
        if run.aborted or run.upstream.leaving:
            return
        now = asyncio.get_running_loop().time()
        key = run.upstream.key
        found = self._suspicions.get(key)
        if found is None or found.is_refuted:
            found = self._suspect(run.upstream, now)
        fingerprint = run.exchange.fingerprint
        known = found.crash.suspects.get(fingerprint)
        if known is None and len(found.crash.suspects) >= evidence.MAX_SUSPECTS:
            return
        before_s = known.exposure_s if known else 0.0
        suspect = evidence.Suspect(
            fingerprint,
            before_s + run.exposure_s(now),
            _label(run),
            frozenset(run.exchange.traits[1:]),
            run.writing_s(now),
        )
        found.parts[fingerprint] = _parts(run)
        found.crash.merge(
            evidence.Crash(key, '', now, {suspect.fingerprint: suspect})
        )
        if found.is_confirmed:
            self._on_crash(found.crash)

    def _suspect(
        self, upstream: upstream_lib.Upstream, now: float
    ) -> _Suspicion:
        before = self._suspicions.get(upstream.key)
        if before is not None:
            before.watch.cancel()
        crash = evidence.Crash(upstream.key, upstream.service, now)
        found = self._suspicions[upstream.key] = _Suspicion(upstream, crash)
        found.check = asyncio.create_task(self._check(found))
        found.watch = asyncio.create_task(self._watch(found))
        return found

    async def has_crashed(self, upstream: upstream_lib.Upstream) -> bool:
        """Whether an upstream that has closed a connection refuses others.

        A response that ends with its connection looks complete if its upstream
        has crashed.
        """
        if upstream.leaving:
            return False
        found = self._suspicions.get(upstream.key)
        if found is not None and found.is_confirmed:
            return True
        await asyncio.sleep(CLOSE_S)
        try:
            conn = await call.connect(upstream.address, CONNECT_TIMEOUT_S)
        except error.RefusedError:
            return True
        except error.ConnectError:
            return False
        conn.abort()
        return False

    def record_refused(self, upstream: upstream_lib.Upstream) -> None:
        """Records that an upstream's address refused a connection."""
        self._confirm(upstream.key, 'refused')

    def record_replaced(self, upstream: upstream_lib.Upstream) -> None:
        """Records that another process answered at an upstream's address."""
        self._confirm(upstream.key, 'replaced')

    async def _check(self, found: _Suspicion) -> None:
        upstream = found.upstream
        await asyncio.sleep(CLOSE_S)
        for delay_s in RETRY_DELAYS_S:
            await asyncio.sleep(delay_s)
            if found.is_confirmed:
                return
            if self._conns.connections(upstream.address).count:
                # They are closed one after the other, if it has crashed.
                continue
            try:
                conn = await call.connect(upstream.address, CONNECT_TIMEOUT_S)
            except error.RefusedError:
                self._confirm(upstream.key, 'refused')
                return
            except error.ConnectError:
                continue
            conn.abort()
            return

    async def _watch(self, found: _Suspicion) -> None:
        """Waits for further evidence; gives up after `WATCH_S`."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + WATCH_S
        while loop.time() < end_s:
            await asyncio.sleep(WATCH_POLL_S)
            if not found.is_confirmed and self._is_replaced(found.upstream):
                self._confirm(found.upstream.key, 'replaced')
        self._suspicions.pop(found.upstream.key, None)

    def _is_replaced(self, upstream: upstream_lib.Upstream) -> bool:
        return any(
            one.address == upstream.address and one.key != upstream.key
            for one in self._upstreams.all()
        )

    def _confirm(self, key: str, reason: str) -> None:
        found = self._suspicions.get(key)
        if found is None or found.is_confirmed:
            return
        found.is_confirmed = True
        for suspect in found.crash.suspects.values():
            event.note(
                event.CrashSuspected(
                    upstream=found.upstream.id,
                    fingerprint=suspect.fingerprint.hex(),
                    label=suspect.label,
                    ran_ms=round(suspect.exposure_s * 1000, 1),
                    parts=found.parts[suspect.fingerprint],
                )
            )
        event.note(
            event.UpstreamCrashed(
                upstream=found.upstream.id,
                evidence=reason,
                requests=len(found.crash.suspects),
            )
        )
        self._on_crash(found.crash)


def _label(run: in_flight.Run) -> str:
    exchange = run.exchange
    account = (exchange.account or b'').decode('latin-1')
    path = exchange.request.path.decode('latin-1')
    return f'{exchange.route.name} {account} {path}'[:MAX_LABEL_LENGTH]


def _parts(run: in_flight.Run) -> str:
    """Returns the shared parts of a request's prompt, for the log."""
    found = run.exchange.shared_parts[:MAX_LISTED_PARTS]
    return ','.join(one[:MAX_PART_LENGTH].decode('latin-1') for one in found)
