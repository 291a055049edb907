"""Takes Dispatches in: knows them, judges them and queues them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.wire import kind, message
from quetzalsill_sidecar import event, make
from quetzalsill_sidecar.attempt import dispatch_check, state

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill.config import holder, model
    from quetzalsill.plugin import registry as registry_lib
    from quetzalsill_sidecar import leave, runner
    from quetzalsill_sidecar import settings as settings_lib
    from quetzalsill_sidecar.attempt import table
    from quetzalsill_sidecar.queue import policy, schedule

    Put = Callable[[message.Message], None]

__all__ = ['Intake']

NEVER_SEEN_KEEP_S = 3600.0


class Intake:
    """Way of an attempt from its Dispatch to the queue and out again."""

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        incarnation: int,
        configuration: holder.Holder,
        attempts: table.Attempts,
        queue: schedule.Schedule,
        runs: runner.Runner,
        leaving: leave.Leave,
        registry: registry_lib.Registry,
        on_change: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._configuration = configuration
        self._attempts = attempts
        self._queue = queue
        self._runs = runs
        self._leaving = leaving
        self._registry = registry
        self._on_change = on_change
        self._waits: set[asyncio.Task[None]] = set()

    def dispatch(
        self, dispatch: message.Dispatch, link: object, put: Put
    ) -> None:
        """Takes a Dispatch; one of a known attempt only re-attaches it."""
        has_run = _has_run(self._terminal(dispatch.attempt))
        if self._answer_known(dispatch, link, put):
            return
        attempt = make.attempt(
            dispatch,
            self._settings,
            self._configuration.current,
            asyncio.get_running_loop().time(),
        )
        attempt.has_run = has_run
        self._attempts.add(attempt)
        attempt.attach(link, put)
        if dispatch.revision > self._configuration.revision:
            task = asyncio.create_task(self._judge_later(attempt))
            self._waits.add(task)
            task.add_done_callback(self._waits.discard)
        else:
            self._judge(attempt)

    def withdraw(self, attempt_id: str, put: Put) -> None:
        """Takes back an attempt that has not started.

        An attempt never seen leaves a tombstone: its Dispatch may be on the
        way over another link, and would run after it was given up.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            self._withdraw_known(attempt, put)
            return
        stone = self._attempts.tombstones.find(attempt_id)
        if stone is None:
            stone = message.Withdrawn(attempt_id)
            self._attempts.tombstones.add(attempt_id, stone, NEVER_SEEN_KEEP_S)
        put(stone)

    def cancel(self, attempt_id: str) -> None:
        """Ends an attempt that is no longer wanted."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            self.stop(attempt, request_error.CancelledError.code)

    def stop(
        self, attempt: state.Attempt, code: str, retry_after_ms: int = 0
    ) -> None:
        """Ends an attempt at whatever stage it is."""
        if attempt.stage in (state.Stage.RECEIVED, state.Stage.QUEUED):
            self._queue.remove(attempt.id)
            self._attempts.refuse(attempt, code, code, retry_after_ms)
            self._on_change()
        elif attempt.stage is not state.Stage.ENDED:
            self._runs.stop_attempt(attempt, code)

    def resume(self, msg: message.Resume, link: object, put: Put) -> None:
        """Takes an attempt up on a new link, from the item asked for."""
        attempt = self._attempts.get(msg.attempt)
        if attempt is None:
            put(self._answer_lost(msg.attempt))
        elif _rewind(attempt, msg):
            attempt.attach(link, put)
            self.cut_body(attempt)
        else:
            put(_not_kept(attempt))

    def cut_body(self, attempt: state.Attempt) -> None:
        """Ends a call whose body can't be completed: its link is gone.

        The rest of a body can't follow on another link. The app server would
        wait for it, and the caller for its answer, until the deadline.
        """
        if attempt.body.is_open:
            self.stop(
                attempt,
                request_error.OutcomeUnknownError.code
                if attempt.started
                else request_error.NoUpstreamError.code,
            )

    def pump(self) -> None:
        """Starts what the admission policy lets start."""
        for attempt_id in self._queue.start_admitted():
            attempt = self._attempts.get(attempt_id)
            self._runs.start(
                attempt, make.demand(attempt, self._configuration.current)
            )

    def adopt(self, cfg: model.Configuration) -> None:
        """Lets a new configuration apply to what waits and what runs."""
        self._queue.set_policies(
            self._registry.get('fairness', cfg.policies.fairness)(),
            self._registry.get('admission', cfg.policies.admission),
            self._demand_of,
        )
        self._queue.headroom = cfg.policies.headroom
        if self._leaving.draining:
            self.refuse_waiting()
        self._on_change()

    def refuse_waiting(self) -> None:
        """Gives back all that has not started; nothing new is taken."""
        for attempt in self._attempts:
            if not attempt.started and not attempt.dispatch.recover:
                self.stop(attempt, request_error.UpstreamLeavingError.code)

    def _demand_of(self, attempt_id: str) -> policy.Demand | None:
        attempt = self._attempts.get(attempt_id)
        return self._demand(attempt) if attempt is not None else None

    def _demand(self, attempt: state.Attempt) -> policy.Demand:
        return make.demand(attempt, self._configuration.current)

    def _answer_known(
        self, dispatch: message.Dispatch, link: object, put: Put
    ) -> bool:
        """Answers for an attempt seen before; False if it is to be run."""
        attempt = self._attempts.get(dispatch.attempt)
        terminal = self._terminal(dispatch.attempt)
        is_call = dispatch.kind == kind.CALL
        if dispatch.recover and not is_call and _is_open(terminal):
            # The engine could not be asked the last time, or not by who asks
            # now; it may have the answer that is no longer kept here.
            self._attempts.drop(dispatch.attempt)
            return False
        if attempt is not None:
            self._take_up(attempt, dispatch, link, put)
        elif terminal is not None:
            put(terminal)
        return attempt is not None or terminal is not None

    def _terminal(self, attempt_id: str) -> message.Message | None:
        """Returns how an attempt ended here; None if that is not known."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            return attempt.terminal
        return self._attempts.tombstones.find(attempt_id)

    def _take_up(
        self,
        attempt: state.Attempt,
        dispatch: message.Dispatch,
        link: object,
        put: Put,
    ) -> None:
        fences = self._attempts.fences
        if not fences.admit(dispatch.request, dispatch.fence):
            # Not Refused: the attempt may have run for its new owner.
            put(
                message.Failed(
                    attempt.id,
                    request_error.SupersededError.code,
                    'fence is old',
                    base.Ran.UNKNOWN.value,
                    False,
                )
            )
        elif dispatch.fence > attempt.dispatch.fence and attempt.tail.start:
            # Its new owner has none of the items that the last one took.
            put(_not_kept(attempt))
        else:
            attempt.tail.restart(dispatch.credit)
            attempt.attach(link, put)

    def _answer_lost(self, attempt_id: str) -> message.Message:
        stone = self._attempts.tombstones.find(attempt_id)
        if stone is None:
            stone = message.Refused(
                attempt_id, request_error.NotFoundError.code, 'never seen', 0
            )
            self._attempts.tombstones.add(attempt_id, stone, NEVER_SEEN_KEEP_S)
        return stone

    def _withdraw_known(self, attempt: state.Attempt, put: Put) -> None:
        if attempt.started or attempt.stage is state.Stage.ENDED:
            put(message.Running(attempt.id))
            return
        self._queue.remove(attempt.id)
        if attempt.stage is state.Stage.CONNECTING:
            self._runs.stop_attempt(attempt, 'withdrawn')
        attempt.put = put
        self._attempts.end(attempt, message.Withdrawn(attempt.id))
        self._on_change()

    async def _judge_later(self, attempt: state.Attempt) -> None:
        revision = attempt.dispatch.revision
        try:
            async with asyncio.timeout(self._settings.timing.config_s):
                await self._configuration.wait_for(revision)
        except TimeoutError:
            event.note(event.ConfigurationNotHad(revision=revision))
        self._judge(attempt)

    def _judge(self, attempt: state.Attempt) -> None:
        if attempt.stage is not state.Stage.RECEIVED:
            return
        dispatch = attempt.dispatch
        if dispatch.revision > self._configuration.revision:
            detail = f'revision {dispatch.revision} could not be had'
            self._attempts.refuse(
                attempt, request_error.StaleRevisionError.code, detail
            )
            return
        demand = self._demand(attempt)
        verdict = dispatch_check.find_refusal(
            dispatch, self._circumstances(demand)
        )
        if verdict is not None:
            self._attempts.refuse(
                attempt, verdict.code, verdict.detail, verdict.retry_after_ms
            )
        elif dispatch.recover:
            self._queue.mark_running(demand)
            self._runs.start(attempt, demand)
        else:
            attempt.stage = state.Stage.QUEUED
            self._queue.push(demand)
            # At once, not at the end of the loop's turn: until then it would
            # count as a queue before an idle engine, by which the rest of a
            # burst is judged, and could be swept for having waited too long.
            self.pump()
        self._on_change()

    def _circumstances(
        self, demand: policy.Demand
    ) -> dispatch_check.SidecarState:
        is_model = self._settings.upstream.kind == 'model'
        wait_s = self._queue.expected_wait_s(demand.rank(demand.arrived))
        return dispatch_check.SidecarState(
            incarnation=self._incarnation,
            revision=self._configuration.revision,
            leaving=self._leaving.refusal(),
            kinds=kind.GENERATIONS if is_model else (kind.CALL,),
            fences=self._attempts.fences,
            queued=self._queue.queued,
            max_queued=self._settings.bounds.queue,
            expected_wait_ms=round(wait_s * 1000),
        )


def _is_open(terminal: message.Message | None) -> bool:
    """Whether more may be had of an attempt than how it ended here."""
    if not isinstance(terminal, message.Failed) or terminal.gone:
        return False
    return (
        terminal.ran == base.Ran.UNKNOWN
        or terminal.code == request_error.OutcomeUnknownError.code
    )


def _has_run(terminal: message.Message | None) -> bool:
    """Whether an attempt that ended here surely ran.

    An engine forgets what it made. Asked then by a recovery, it knows no such
    generation, which is no word of one that never ran.
    """
    if isinstance(terminal, message.Failed):
        return terminal.ran == base.Ran.YES
    return isinstance(terminal, message.Finished)


def _rewind(attempt: state.Attempt, msg: message.Resume) -> bool:
    """Goes back to the item asked for; False if it is not kept."""
    seq = msg.seq
    if attempt.dispatch.recover:
        # The router has items of the sidecar before this one, which this one
        # may not have read from the engine yet. It goes on from what it has,
        # and the router drops what comes twice; to call them lost would end
        # a request whose generation lives.
        seq = min(seq, attempt.tail.end)
    return attempt.tail.rewind(seq, msg.credit + msg.seq - seq)


def _not_kept(attempt: state.Attempt) -> message.Message:
    return message.Failed(
        attempt.id,
        request_error.OutcomeUnknownError.code,
        'items no longer kept',
        base.Ran.YES.value,
        False,
    )
