"""Decides which requests are refused because they crash upstreams."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import quota, upstream
from quetzalsill_gateway.quarantine import evidence, table
from quetzalsill_gateway.quarantine import update as update_lib

if TYPE_CHECKING:
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway.fleet import members as members_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.quarantine import in_flight

__all__ = ['Quarantine']

# Time for the other gateways' reports of a crash to arrive, before a request is
# found to have caused it.
SETTLE_S = 0.3
# Longest time for which a broken-off request waits for that.
MAX_VERDICT_WAIT_S = 0.6
VERDICT_POLL_S = 0.01
# After this many crashes a request waits until the next one is understood.
SUSPICIOUS_CRASHES = 2
# How long a probe is up to one gateway; then it is another's turn.
PROBE_TURN_S = 10.0
# When a caller may retry while the probe is up to another gateway.
PROBE_RETRY_AFTER_S = 1.0
MAX_LISTED_UPSTREAMS = 8
# Crashes sent to a gateway that starts, and from time to time to any of them.
SNAPSHOT_CRASHES = 64
RECENT_CRASHES = 8


class Quarantine:
    """Crashes and quarantined requests, as known to one gateway."""

    def __init__(
        self,
        members: members_lib.Members,
        upstreams: upstream_lib.Upstreams,
        runs: in_flight.InFlight,
    ) -> None:
        """Starts without any.

        Args:
          members: Gateways that take turns in making probes.
          upstreams: Known upstreams.
          runs: Requests in flight.
        """
        self._members = members
        self._runs = runs
        self._evidence = evidence.Evidence(
            lambda service: sum(
                one.service == service for one in upstreams.all()
            )
        )
        self._table = table.QuarantineTable()
        self._announce: Callable[[update_lib.QuarantineUpdate], None] = (
            lambda _: None
        )
        self._on_changed: Callable[[table.Entry], None] = lambda _: None
        self._on_crash: Callable[[], None] = lambda: None
        self._judged: dict[bytes, int] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_active(self) -> bool:
        """Whether any crash or quarantined request is known."""
        return bool(self._evidence) or bool(self._table)

    @property
    def entries(self) -> list[table.Entry]:
        """The quarantined requests."""
        return self._table.active

    def set_announcer(
        self, announce: Callable[[update_lib.QuarantineUpdate], None]
    ) -> None:
        """Sets the function that sends updates to the other gateways."""
        self._announce = announce

    def on_changed(self, callback: Callable[[table.Entry], None]) -> None:
        """Sets a callback for entries that have changed."""
        self._on_changed = callback

    def on_crash(self, callback: Callable[[], None]) -> None:
        """Sets a callback for crashes that this gateway has detected."""
        self._on_crash = callback

    def restore(self, entries: list[table.Entry]) -> None:
        """Applies entries that were stored."""
        for entry in entries:
            if self._table.merge(entry) and entry.is_active:
                self._enforce(entry, 'store')
        self._table.expire(_now())

    def admit(self, exchange: exchange_lib.Exchange) -> float | None:
        """Decides whether a request may be forwarded.

        Returns:
          None if it may; otherwise the time in seconds after which it may be
          sent again.
        """
        entry = self._table.get(exchange.fingerprint) if self._table else None
        if entry is None:
            return None
        now = _now()
        if now < entry.until_s:
            return entry.until_s - now
        if not self._has_turn(entry, now):
            return PROBE_RETRY_AFTER_S
        exchange.is_probe = True
        self._publish(self._table.begin_probe(entry, now))
        return None

    def rejects(self, exchange: exchange_lib.Exchange) -> bool:
        """Whether a request must not be sent to an upstream now."""
        if not self._table or self._table.get(exchange.fingerprint) is None:
            return False
        return not (exchange.is_probe and not exchange.sends)

    def is_charged(self, exchange: exchange_lib.Exchange) -> bool:
        """Whether a request may have caused a crash."""
        if not self._evidence:
            return False
        return bool(self._charges(exchange.fingerprint))

    async def may_resend(
        self,
        exchange: exchange_lib.Exchange,
        is_checking: Callable[[bytes], bool],
    ) -> bool:
        """Whether a request that broke off may be sent once more.

        One that has met several crashes waits until it is known why it broke
        off this time.

        Args:
          exchange: The request.
          is_checking: Whether it is not known yet why a request broke off.
        """
        fingerprint = exchange.fingerprint
        end_s = _now() + MAX_VERDICT_WAIT_S
        while _now() < end_s and (  # noqa: ASYNC110
            self._is_undecided(fingerprint)
            or (
                is_checking(fingerprint)
                and len(self._charges(fingerprint)) >= SUSPICIOUS_CRASHES
            )
        ):
            await asyncio.sleep(VERDICT_POLL_S)
        if not self.rejects(exchange):
            return True
        entry = self._table.get(fingerprint)
        exchange.retry_after_s = max(
            PROBE_RETRY_AFTER_S, entry.until_s - _now()
        )
        return False

    def record_crash(self, crash: evidence.Crash) -> None:
        """Applies a crash that this gateway has detected."""
        if self._apply_crash(crash):
            self._send(update_lib.split([crash], (), (), ()))
            self._on_crash()

    def record_completion(self, exchange: exchange_lib.Exchange) -> None:
        """Records that an upstream has answered a request."""
        fingerprint = exchange.fingerprint
        is_news = self._evidence.charges(fingerprint)
        if not is_news and self._table.get(fingerprint) is None:
            return
        now = _now()
        self._apply_completion(fingerprint, now)
        self._send(update_lib.split((), (), [(fingerprint, now)], ()))

    def record_answer(
        self, upstream: upstream_lib.Upstream, sent_s: float
    ) -> None:
        """Records that an upstream has answered a request sent at `sent_s`."""
        crashed_s = self._evidence.crash_time_s(upstream.key)
        if crashed_s is None or sent_s <= crashed_s:
            return
        now = _now()
        self._apply_alive(upstream.key, now)
        self._send(update_lib.split((), [(upstream.key, now)], (), ()))

    def lift(self, fingerprint: bytes) -> bool:
        """Ends a quarantine on an operator's request; whether there was one."""
        entry = self._table.get(fingerprint)
        if entry is None:
            return False
        now = _now()
        # The crashes before must not bring it back.
        self._evidence.record_completion(fingerprint, now)
        self._lift(entry, 'operator')
        self._send(update_lib.split((), (), [(fingerprint, now)], ()))
        return True

    def receive(self, update: update_lib.QuarantineUpdate) -> None:
        """Applies an update of another gateway."""
        for entry in update.entries:
            if not self._table.merge(entry):
                continue
            self._on_changed(entry)
            if entry.is_active:
                self._enforce(entry, update.sender)
        for key, at_s in update.alive:
            self._apply_alive(key, at_s)
        for fingerprint, at_s in update.completed:
            self._apply_completion(fingerprint, at_s)
        for crash in update.crashes:
            self._apply_crash(crash)

    def snapshot(self) -> Iterator[update_lib.QuarantineUpdate]:
        """Yields all that is known, for a gateway that has just started."""
        return self._updates(SNAPSHOT_CRASHES)

    def recent(self) -> Iterator[update_lib.QuarantineUpdate]:
        """Yields what another gateway may have missed."""
        now = _now()
        self._evidence.expire(now)
        self._table.expire(now)
        return self._updates(RECENT_CRASHES)

    def _updates(
        self, crash_count: int
    ) -> Iterator[update_lib.QuarantineUpdate]:
        known = self._evidence
        return update_lib.split(
            known.crashes[-crash_count:],
            list(known.alive.items())[-crash_count:],
            list(known.completions.items())[-crash_count:],
            self._table.entries,
        )

    def _apply_crash(self, crash: evidence.Crash) -> bool:
        if not self._evidence.add(crash):
            return False
        for fingerprint in crash.suspects:
            entry = self._table.get(fingerprint)
            if (
                entry is not None
                and entry.probe_s is not None
                and crash.at_s >= entry.probe_s
            ):
                self._publish(self._table.fail_probe(entry, _now()))
        self._schedule_verdict(crash)
        return True

    def _apply_completion(self, fingerprint: bytes, at_s: float) -> None:
        self._evidence.record_completion(fingerprint, at_s)
        entry = self._table.get(fingerprint)
        if entry is not None and at_s > entry.since_s:
            self._lift(entry, 'completed')

    def _apply_alive(self, key: str, at_s: float) -> None:
        if not self._evidence.record_alive(key, at_s):
            return
        event.note(event.CrashRefuted(key.partition(upstream.KEY_SEPARATOR)[0]))

    def _charges(self, fingerprint: bytes) -> list[list[evidence.Crash]]:
        culprits = (one.fingerprint for one in self._table.active)
        return evidence.groups(self._evidence.charges(fingerprint, culprits))

    def _is_undecided(self, fingerprint: bytes) -> bool:
        return (
            self._timer is not None
            and self._table.get(fingerprint) is None
            and len(self._charges(fingerprint)) >= evidence.MIN_CRASHES
        )

    def _schedule_verdict(self, crash: evidence.Crash) -> None:
        """Schedules a verdict if a request has met enough crashes."""
        if self._timer is not None:
            return
        for fingerprint in crash.suspects:
            if not self._evidence.is_repeated(fingerprint):
                continue
            count = len(self._charges(fingerprint))
            if count >= evidence.MIN_CRASHES and count > self._judged.get(
                fingerprint, 0
            ):
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(SETTLE_S, self._judge)
                return

    def _judge(self) -> None:
        """Puts the requests in quarantine that are found to cause crashes."""
        self._timer = None
        now = _now()
        known = [one.fingerprint for one in self._table.active]
        for suspect, charged in self._evidence.culprits(known, now):
            keys = [crash.key for crash in charged[-MAX_LISTED_UPSTREAMS:]]
            ids = (key.partition(upstream.KEY_SEPARATOR)[0] for key in keys)
            entry = self._table.add(
                suspect.fingerprint, _label(suspect, charged), tuple(ids), now
            )
            self._enforce(entry, '')
            self._publish(entry)
            self._lift_explained(suspect.fingerprint)
        self._judged = {
            fingerprint: len(self._charges(fingerprint))
            for fingerprint in self._evidence.repeated()
        }

    def _lift_explained(self, culprit: bytes) -> None:
        """Lifts entries whose crashes another culprit explains better."""
        explained = {crash.key for crash in self._evidence.charges(culprit, ())}
        for entry in self._table.active:
            charged = self._evidence.charges(entry.fingerprint, ())
            keys = {crash.key for crash in charged}
            if keys and keys < explained and not entry.failed_probes:
                self._lift(entry, 'explained')

    def _enforce(self, entry: table.Entry, sender: str) -> None:
        """Stops the runs of a request that has been quarantined."""
        event.note(
            event.RequestQuarantined(
                fingerprint=entry.fingerprint.hex(),
                label=entry.label,
                upstreams=','.join(entry.upstreams),
                for_s=round(max(0.0, entry.until_s - _now()), 1),
                failed_probes=entry.failed_probes,
                source=sender,
                stopped=self._runs.abort(entry.fingerprint)
                if entry.probe_s is None
                else 0,
            )
        )

    def _lift(self, entry: table.Entry, reason: str) -> None:
        event.note(
            event.QuarantineLifted(entry.fingerprint.hex(), entry.label, reason)
        )
        self._publish(self._table.lift(entry, reason, _now()))

    def _has_turn(self, entry: table.Entry, now: float) -> bool:
        turn = int((now - entry.until_s) / PROBE_TURN_S)
        key = f'{entry.fingerprint.hex()}/{entry.version}/{turn}'
        owners = quota.rate_owners(key, self._members.names(now), 1)
        return owners == [self._members.node]

    def _publish(self, entry: table.Entry) -> None:
        self._on_changed(entry)
        self._send(update_lib.split((), (), (), [entry]))

    def _send(self, updates: Iterator[update_lib.QuarantineUpdate]) -> None:
        for one in updates:
            self._announce(dataclasses.replace(one, sender=self._members.node))


def _label(suspect: evidence.Suspect, charged: list[evidence.Crash]) -> str:
    """Returns the label of a request; empty if this gateway never ran it."""
    labels = (crash.suspects[suspect.fingerprint].label for crash in charged)
    return next(filter(None, labels), '')


def _now() -> float:
    return asyncio.get_running_loop().time()
