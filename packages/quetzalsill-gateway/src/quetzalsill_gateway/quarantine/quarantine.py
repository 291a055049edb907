"""Decides which requests are refused because they crash upstreams."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING

from quetzalsill_gateway import event
from quetzalsill_gateway.fleet import quota, upstream
from quetzalsill_gateway.quarantine import (
    attribution,
    evidence,
    table,
    trait,
)
from quetzalsill_gateway.quarantine import update as update_lib

if TYPE_CHECKING:
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway.fleet import members as members_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.quarantine import in_flight

__all__ = ['Quarantine']

# Time for the other gateways' reports of a crash to arrive, before a request is
# found to have caused it.
SETTLE_S = 0.15
# Longest time for which a broken-off request waits for that.
MAX_VERDICT_WAIT_S = 0.6
VERDICT_POLL_S = 0.01
# After this many crashes that it may have caused, a request that broke off is
# not sent again until it is cleared.
SUSPICIOUS_CRASHES = 2
# Requests that are remembered for when a crash becomes known, and the largest
# body of one.
MAX_REMEMBERED = 128
MAX_REMEMBERED_BYTES = 65_536
# How often runs are examined for those that outlived a crash.
REVIEW_S = 0.1
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
        self._has_crashes = asyncio.Event()
        # Requests that did well while no crash was known, with their times.
        self._recent: collections.deque[tuple[exchange_lib.Exchange, float]] = (
            collections.deque(maxlen=MAX_REMEMBERED)
        )

    @property
    def is_active(self) -> bool:
        """Whether any crash or quarantined request is known."""
        return bool(self._evidence) or bool(self._table)

    @property
    def entries(self) -> list[table.Entry]:
        """Entries of the traits whose requests are refused."""
        return self._table.active

    @property
    def known_entries(self) -> list[table.Entry]:
        """All entries, lifted ones included."""
        return self._table.entries

    def count_by_kind(self) -> dict[str, int]:
        """Returns the number of entries of each kind of trait."""
        counts = dict.fromkeys(trait.KIND_NAMES, 0)
        for entry in self._table.active:
            kind = trait.kind_of(entry.fingerprint)
            counts[kind] = counts.get(kind, 0) + 1
        return counts

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
        entries = self._matching(exchange)
        if not entries:
            return None
        now = _now()
        until_s = max(entry.until_s for entry in entries)
        if now < until_s:
            return until_s - now
        if not self._has_turn(entries[0], now):
            return PROBE_RETRY_AFTER_S
        exchange.is_probe = True
        for entry in entries:
            self._publish(self._table.begin_probe(entry, now))
        return None

    def describe(self, exchange: exchange_lib.Exchange) -> str:
        """Returns the traits by which a request is refused, for the log."""
        entries = self._matching(exchange)
        return ' '.join(trait.describe(sorted(one.traits)) for one in entries)

    def rejects(self, exchange: exchange_lib.Exchange) -> bool:
        """Whether a request must not be sent to an upstream now.

        If so, sets when its caller is to retry.
        """
        entries = self._matching(exchange)
        if not entries or (exchange.is_probe and not exchange.sends):
            return False
        until_s = max(entry.until_s for entry in entries)
        exchange.retry_after_s = max(PROBE_RETRY_AFTER_S, until_s - _now())
        return True

    def is_charged(self, exchange: exchange_lib.Exchange) -> bool:
        """Whether a request may have caused a crash."""
        if not self._evidence:
            return False
        return bool(self._charges(exchange.fingerprint)) or self._is_suspicious(
            exchange
        )

    async def may_resend(
        self,
        exchange: exchange_lib.Exchange,
        is_checking: Callable[[bytes], bool],
    ) -> bool:
        """Whether a request that broke off may be sent once more.

        One that may have caused a crash before waits until it is known why it
        broke off this time. One that had just begun when it met a crash, and
        may have caused several, is not sent again unless it is cleared.

        Args:
          exchange: The request.
          is_checking: Whether it is not known yet why a request broke off.
        """
        end_s = _now() + MAX_VERDICT_WAIT_S
        while _now() < end_s and (  # noqa: ASYNC110
            self._is_undecided(exchange)
            or self._may_crash_again(exchange)
            or (
                is_checking(exchange.fingerprint)
                and any(map(self._charges, exchange.traits))
            )
        ):
            await asyncio.sleep(VERDICT_POLL_S)
        return not (self.rejects(exchange) or self._may_crash_again(exchange))

    def record_crash(self, crash: evidence.Crash) -> None:
        """Applies a crash that this gateway has detected."""
        sound = self._apply_crash(crash)
        if sound is not None:
            self._send(update_lib.split([crash], (), sound, ()))
            self._on_crash()
        self._record_cleared(list(self._evidence.outlived(crash)))

    def record_completion(
        self,
        exchange: exchange_lib.Exchange,
        begun_s: float | None = None,
        *,
        is_served: bool = True,
    ) -> None:
        """Records that an upstream has answered a request.

        Args:
          exchange: The request.
          begun_s: Loop time at which the response began; None for now.
          is_served: Whether the response was a success; if not, it shows
            nothing about traits that other requests have too.
        """
        at_s = _now() if begun_s is None else begun_s
        if is_served:
            self._remember(exchange, at_s)
        if not self.is_active:
            return
        found = exchange.traits if is_served else (exchange.fingerprint,)
        self._record_cleared(
            [
                (one, at_s)
                for one in found
                if self._evidence.charges(one) or self._table.involves(one)
            ]
        )

    def record_run(self, run: in_flight.Run) -> None:
        """Remembers a run that ends, if it has been producing output."""
        if run.writing_s(_now()) >= evidence.MIN_OUTLIVED_S:
            self._remember(run.exchange, run.wrote_s)

    def _remember(self, exchange: exchange_lib.Exchange, at_s: float) -> None:
        """Remembers a request that did not crash the upstream that ran it.

        Its traits are needed only once a crash is known.
        """
        if self.is_active:
            for fingerprint in exchange.traits:
                self._evidence.record_sound(fingerprint, at_s)
        elif len(exchange.request.body) <= MAX_REMEMBERED_BYTES:
            self._recent.append((exchange, at_s))

    async def review_runs(self) -> None:
        """Looks for runs that outlived a crash, until cancelled.

        Requests that share a trait with those are cleared of a suspicion long
        before a generation ends.
        """
        while True:
            await self._has_crashes.wait()
            now = _now()
            self._record_cleared(
                [
                    (one, run.wrote_s)
                    for run in self._runs.writing()
                    for one in run.exchange.traits
                    if self._evidence.is_cleared_by(one, run.wrote_s, now)
                ]
            )
            if not self._evidence:
                self._has_crashes.clear()
            await asyncio.sleep(REVIEW_S)

    def _record_cleared(self, cleared: list[tuple[bytes, float]]) -> None:
        """Records traits of runs that did not crash their upstream.

        Args:
          cleared: Fingerprints, with the loop times at which the runs began.
        """
        newest = {}
        for fingerprint, at_s in cleared:
            newest[fingerprint] = max(at_s, newest.get(fingerprint, at_s))
        for fingerprint, at_s in newest.items():
            self._apply_completion(fingerprint, at_s)
        self._send(update_lib.split((), (), newest.items(), ()))

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
        cleared = [(one, now) for one in entry.traits]
        for one, at_s in cleared:
            self._evidence.record_completion(one, at_s)
        self._lift(entry, 'operator')
        self._send(update_lib.split((), (), cleared, ()))
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

    def _apply_crash(
        self, crash: evidence.Crash
    ) -> list[tuple[bytes, float]] | None:
        """Applies a crash that this gateway or another has detected.

        Returns:
          Traits at it that this gateway knew as sound, with the loop times at
          which their runs began; None if nothing is new.
        """
        if not self._evidence.add(crash):
            return None
        self._has_crashes.set()
        while self._recent:
            exchange, at_s = self._recent.popleft()
            for fingerprint in exchange.traits:
                self._evidence.record_sound(fingerprint, at_s)
        for entry in self._table.active:
            if (
                entry.probe_s is not None
                and crash.at_s >= entry.probe_s
                and any(crash.matching(entry.traits))
            ):
                self._publish(self._table.fail_probe(entry, _now()))
        sound = list(self._evidence.sound_before(crash))
        for fingerprint, at_s in sound:
            self._apply_completion(fingerprint, at_s)
        self._schedule_verdict(crash.by_trait)
        return sound

    def _apply_completion(self, fingerprint: bytes, at_s: float) -> None:
        count = len(self._evidence.charges(fingerprint))
        if not self._evidence.record_completion(fingerprint, at_s):
            return
        is_cleared = count and not self._evidence.charges(fingerprint)
        for entry in self._table.active:
            if fingerprint not in entry.traits or not (
                is_cleared or at_s > entry.since_s
            ):
                continue
            if fingerprint in entry.companions:
                wider = self._table.widen(entry, fingerprint)
                self._enforce(wider, '')
                self._publish(wider)
            else:
                self._lift(entry, 'completed')
        if is_cleared and count >= evidence.MIN_CRASHES:
            # Another trait explains the crashes, which were ambiguous before.
            self._judged.clear()
            self._schedule_verdict(self._evidence.repeated())

    def _apply_alive(self, key: str, at_s: float) -> None:
        if not self._evidence.record_alive(key, at_s):
            return
        event.note(event.CrashRefuted(key.partition(upstream.KEY_SEPARATOR)[0]))

    def _matching(self, exchange: exchange_lib.Exchange) -> list[table.Entry]:
        """Returns the entries by which a request is refused."""
        if not self._table:
            return []
        return list(self._table.matching(exchange.traits))

    def _charges(self, fingerprint: bytes) -> list[list[evidence.Crash]]:
        culprits = [one.traits for one in self._table.active]
        return evidence.groups(self._evidence.charges(fingerprint, culprits))

    def _is_undecided(self, exchange: exchange_lib.Exchange) -> bool:
        return self._timer is not None and any(
            self._table.get(one) is None
            and len(self._charges(one)) >= evidence.MIN_CRASHES
            for one in exchange.traits
        )

    def _is_suspicious(self, exchange: exchange_lib.Exchange) -> bool:
        """Whether a request may have caused several crashes."""
        return any(
            len(self._charges(one)) >= SUSPICIOUS_CRASHES
            for one in exchange.traits
        )

    def _may_crash_again(self, exchange: exchange_lib.Exchange) -> bool:
        """Whether a request that broke off may crash the next upstream."""
        return self._evidence.was_running_briefly(
            exchange.fingerprint
        ) and self._is_suspicious(exchange)

    def _schedule_verdict(self, fingerprints: Iterable[bytes]) -> None:
        """Schedules a verdict if one of some traits has met enough crashes."""
        if self._timer is not None:
            return
        for fingerprint in fingerprints:
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
        """Puts the traits in quarantine that are found to cause crashes."""
        self._timer = None
        now = _now()
        known = [one.traits for one in self._table.active]
        for verdict in attribution.culprits(self._evidence, known, now):
            keys = [crash.key for crash in verdict.charged]
            ids = (
                key.partition(upstream.KEY_SEPARATOR)[0]
                for key in keys[-MAX_LISTED_UPSTREAMS:]
            )
            fingerprint, *companions = sorted(verdict.traits)
            entry = self._table.add(
                fingerprint, verdict.label, tuple(ids), now, tuple(companions)
            )
            self._enforce(entry, '')
            self._publish(entry)
            self._lift_explained(entry)
        self._judged = {
            fingerprint: len(self._charges(fingerprint))
            for fingerprint in self._evidence.repeated()
        }

    def _lift_explained(self, culprit: table.Entry) -> None:
        """Lifts entries whose crashes another culprit explains better."""
        explained = self._crashed_by(culprit)
        for entry in self._table.active:
            keys = self._crashed_by(entry)
            if keys and keys < explained and not entry.failed_probes:
                self._lift(entry, 'explained')

    def _crashed_by(self, entry: table.Entry) -> set[str]:
        """Returns the keys of the upstreams that an entry's requests met."""
        return {
            crash.key
            for crash in self._evidence.charges(entry.fingerprint)
            if any(crash.matching(entry.traits))
        }

    def _enforce(self, entry: table.Entry, sender: str) -> None:
        """Stops the runs of requests that have been quarantined."""
        event.note(
            event.RequestQuarantined(
                fingerprint=entry.fingerprint.hex(),
                label=entry.label,
                upstreams=','.join(entry.upstreams),
                for_s=round(max(0.0, entry.until_s - _now()), 1),
                failed_probes=entry.failed_probes,
                source=sender,
                stopped=self._stop_runs(entry) if entry.probe_s is None else 0,
                trait=trait.describe((entry.fingerprint, *entry.companions)),
            )
        )

    def _stop_runs(self, entry: table.Entry) -> int:
        """Ends runs that have not begun to produce output; returns how many.

        The others either crash their upstream at once or clear the trait.
        """
        return self._runs.abort(
            lambda run: (
                run.wrote_s is None
                and entry.traits.issubset(run.exchange.traits)
            )
        )

    def _lift(self, entry: table.Entry, reason: str) -> None:
        event.note(
            event.QuarantineLifted(
                entry.fingerprint.hex(),
                entry.label,
                reason,
                trait.describe((entry.fingerprint, *entry.companions)),
            )
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


def _now() -> float:
    return asyncio.get_running_loop().time()
