"""Asks engines whose entry is missing just after an outage of the source.

Such an engine is gone, will write its entry again, or is leaving without having
announced it: its entry is removed, and it stops about 1.5 s later. Its report
distinguishes these cases, so that its runs can be moved in time.

One gateway asks. The gateways with runs at the engine are ranked by rendezvous
hashing, so those that know the same ones agree on the order. The others ask in
their turn if they have received neither a notice nor an answer by then. So
an engine that answers within a turn gets one request at a time, however many
gateways there are.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING

import xxhash

from quetzalsill.telemetry import metric
from quetzalsill_gateway import event

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = [
    'Answer',
    'AnswerUpdate',
    'LapsedEngines',
    'Outcome',
    'asked_total',
    'rank',
]

MS_PER_S = 1000
asked_total = metric.counter(
    'quetzalsill_gateway_lapsed_engines_asked_total',
    'Requests to engines whose entry is missing, by what the report says.',
)
# A gateway that asks has its answer, and the others have received it, within a
# few round trips.
TURN_S = 0.15
# Reports are up to 0.5 s old, so one that shows no notice is checked once after
# this time.
RECHECK_S = 0.55
# Two answers that are closer together may come from the same report.
MIN_RECHECK_S = 0.5
RETRY_S = 0.25
# Bounds what is kept of answers to other gateways; several times the engines of
# the largest planned fleet.
MAX_HEARD = 1024


class Outcome(enum.Enum):
    """What the report of an engine has shown.

    Attributes:
      LEAVING: The engine leaves.
      SERVING: It serves, as far as the report shows.
      NO_ANSWER: It has not answered, or another process has.
    """

    LEAVING = 'leaving'
    SERVING = 'serving'
    NO_ANSWER = 'none'


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """The answer of an engine that was asked.

    Attributes:
      outcome: What it has shown.
      left_s: Reported time left in seconds; None if unknown.
      reason: Why there is no valid answer; empty if there is one.
    """

    outcome: Outcome
    left_s: float | None = None
    reason: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerUpdate:
    """An answer without a notice, which a gateway announces.

    Attributes:
      key: Key of the upstream.
      outcome: What it has shown.
      sender: Name of the sending gateway; set on receipt.
    """

    key: str
    outcome: Outcome
    sender: str = dataclasses.field(default='', compare=False)


@dataclasses.dataclass(slots=True, eq=False)
class _Inquiry:
    """Decides when a gateway asks one engine.

    Attributes:
      order: Gateways that ask, in the order of their turns.
      start_s: Loop time of the first turn.
      first: Index of the gateway that has the first turn.
      serving_s: Loop time of the first answer without a notice; None before.
      is_over: Whether the engine is not asked again.
      changed: Set when an answer has changed the times.
    """

    order: list[str]
    start_s: float
    first: int = 0
    serving_s: float | None = None
    is_over: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def turn(self, node: str) -> int:
        """Returns how many gateways ask before this one."""
        return (self.order.index(node) - self.first) % len(self.order)

    def due_s(self, node: str) -> float:
        """Returns the loop time at which a gateway asks."""
        return self.start_s + self.turn(node) * TURN_S

    def record(self, outcome: Outcome, now: float) -> None:
        """Records an answer to this or to another gateway."""
        if outcome is Outcome.LEAVING:
            self.is_over = True
        elif outcome is Outcome.NO_ANSWER:
            # Another gateway goes first, as this one may be cut off.
            self.first += 1
            self.start_s = now + RETRY_S
        elif self.serving_s is None:
            self.serving_s = now
            self.start_s = now + RECHECK_S
        elif now - self.serving_s >= MIN_RECHECK_S:
            self.is_over = True
        else:
            self.start_s = self.serving_s + RECHECK_S
        self.changed.set()


class LapsedEngines:
    """Asks engines whose entry is missing, in turn with other gateways."""

    def __init__(
        self,
        node: str,
        ask: Callable[[upstream_lib.Upstream], Awaitable[Answer]],
        gateways: Callable[[upstream_lib.Upstream], Iterable[str]],
        is_lapsed: Callable[[upstream_lib.Upstream], bool],
    ) -> None:
        """Prepares to ask engines.

        Args:
          node: Name of this gateway.
          ask: Asks an engine for its report, and applies a notice in it.
          gateways: Returns the names of the gateways that ask an engine.
          is_lapsed: Whether the entry of an engine is missing and the engine
            is kept.
        """
        self._node = node
        self._ask = ask
        self._gateways = gateways
        self._is_lapsed = is_lapsed
        self._inquiries: dict[str, _Inquiry] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        # Latest answer to another gateway and its loop time, by key.
        self._heard: dict[str, tuple[Outcome, float]] = {}
        self._announce: Callable[[AnswerUpdate], None] = lambda _: None

    def set_announcer(self, announce: Callable[[AnswerUpdate], None]) -> None:
        """Sets the function that sends updates to the other gateways."""
        self._announce = announce

    def receive(self, update: AnswerUpdate) -> None:
        """Records the answer of an engine to another gateway."""
        now = asyncio.get_running_loop().time()
        self._heard.pop(update.key, None)
        if len(self._heard) >= MAX_HEARD:
            del self._heard[next(iter(self._heard))]
        self._heard[update.key] = update.outcome, now
        inquiry = self._inquiries.get(update.key)
        if inquiry is not None:
            inquiry.record(update.outcome, now)

    def start(self, upstream: upstream_lib.Upstream) -> None:
        """Starts to ask an engine whose entry is missing."""
        if upstream.leaving or upstream.key in self._inquiries:
            return
        order = rank(upstream.key, self._gateways(upstream))
        if self._node not in order:
            return
        loop = asyncio.get_running_loop()
        inquiry = _Inquiry(order, loop.time())
        outcome, heard_s = self._heard.get(upstream.key, (None, 0.0))
        if outcome is not None and loop.time() - heard_s < RETRY_S:
            # The others have noticed earlier that its entry is missing.
            inquiry.record(outcome, heard_s)
        self._inquiries[upstream.key] = inquiry
        task = loop.create_task(self._run(upstream, inquiry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Stops asking."""
        for task in self._tasks:
            task.cancel()

    async def _run(
        self, upstream: upstream_lib.Upstream, inquiry: _Inquiry
    ) -> None:
        try:
            while await self._wait_for_turn(upstream, inquiry):
                await self._ask_once(upstream, inquiry)
        finally:
            del self._inquiries[upstream.key]

    async def _wait_for_turn(
        self, upstream: upstream_lib.Upstream, inquiry: _Inquiry
    ) -> bool:
        """Waits for the turn; returns whether the engine is to be asked."""
        loop = asyncio.get_running_loop()
        while not inquiry.is_over:
            left_s = inquiry.due_s(self._node) - loop.time()
            if left_s <= 0.0:
                break
            inquiry.changed.clear()
            try:
                async with asyncio.timeout(left_s):
                    await inquiry.changed.wait()
            except TimeoutError:
                break
        return (
            not inquiry.is_over
            and not upstream.leaving
            and self._is_lapsed(upstream)
        )

    async def _ask_once(
        self, upstream: upstream_lib.Upstream, inquiry: _Inquiry
    ) -> None:
        turn = inquiry.turn(self._node)
        answer = await self._ask(upstream)
        inquiry.record(answer.outcome, asyncio.get_running_loop().time())
        if answer.outcome is not Outcome.LEAVING:
            self._announce(AnswerUpdate(upstream.key, answer.outcome))
        asked_total.inc({'answer': answer.outcome.value})
        left_ms = None
        if answer.left_s is not None:
            left_ms = round(answer.left_s * MS_PER_S, 1)
        event.note(
            event.LapsedEngineAsked(
                upstream=upstream.id,
                answer=answer.reason or answer.outcome.value,
                leaving=answer.outcome is Outcome.LEAVING,
                left_ms=left_ms,
                asked_by_turn=turn,
            )
        )


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns gateways in the order in which they ask an upstream."""
    return sorted(
        set(names),
        key=lambda name: (
            xxhash.xxh32_intdigest(f'{key}/{name}'.encode()),
            name,
        ),
    )
