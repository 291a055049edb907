"""Accepts Dispatches: deduplicates, checks and queues them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.wire import kind, message
from quetzalsill_sidecar import event, factory
from quetzalsill_sidecar.attempt import dispatch_check, state

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill.config import holder, model
    from quetzalsill.plugin import registry as registry_lib
    from quetzalsill_sidecar import leaving_state
    from quetzalsill_sidecar import runner as runner_lib
    from quetzalsill_sidecar import settings as settings_lib
    from quetzalsill_sidecar.attempt import table
    from quetzalsill_sidecar.queue import policy, schedule

    Put = Callable[[message.Message], None]

__all__ = ['Intake']

UNKNOWN_TOMBSTONE_TTL_S = 3600.0


class Intake:
    """Handles router messages about attempts, and starts queued attempts."""

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        incarnation: int,
        configuration: holder.Holder,
        attempts: table.Attempts,
        queue: schedule.Schedule,
        runner: runner_lib.Runner,
        leaving: leaving_state.LeavingState,
        registry: registry_lib.Registry,
        on_change: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._configuration = configuration
        self._attempts = attempts
        self._queue = queue
        self._runner = runner
        self._leaving = leaving
        self._registry = registry
        self._on_change = on_change
        self._config_waits: set[asyncio.Task[None]] = set()

    def dispatch(
        self, dispatch: message.Dispatch, link: object, put: Put
    ) -> None:
        """Handles a Dispatch; a known attempt is only re-attached."""
        has_run = _has_run(self._terminal_of(dispatch.attempt))
        if self._handle_known(dispatch, link, put):
            return
        attempt = factory.make_attempt(
            dispatch,
            self._settings,
            self._configuration.current,
            asyncio.get_running_loop().time(),
        )
        attempt.has_run = has_run
        self._attempts.add(attempt)
        attempt.attach(link, put)
        if dispatch.revision > self._configuration.revision:
            task = asyncio.create_task(self._admit_after_configuration(attempt))
            self._config_waits.add(task)
            task.add_done_callback(self._config_waits.discard)
        else:
            self._admit(attempt)

    def withdraw(self, attempt_id: str, put: Put) -> None:
        """Withdraws an attempt that has not started.

        An unknown attempt gets a tombstone: its Dispatch may be in transit on
        another link, and would run after the router has abandoned it.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            self._withdraw_known(attempt, put)
            return
        tombstone = self._attempts.tombstones.find(attempt_id)
        if tombstone is None:
            tombstone = message.Withdrawn(attempt_id)
            self._attempts.tombstones.add(
                attempt_id, tombstone, UNKNOWN_TOMBSTONE_TTL_S
            )
        put(tombstone)

    def cancel(self, attempt_id: str) -> None:
        """Cancels an attempt at the request of its router."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            self.stop(attempt, request_error.CancelledError.code)

    def stop(
        self, attempt: state.Attempt, code: str, retry_after_ms: int = 0
    ) -> None:
        """Stops an attempt at any stage."""
        if attempt.stage in (state.Stage.RECEIVED, state.Stage.QUEUED):
            self._queue.remove(attempt.id)
            self._attempts.refuse(attempt, code, code, retry_after_ms)
            self._on_change()
        elif attempt.stage is not state.Stage.ENDED:
            self._runner.stop_attempt(attempt, code)

    def resume(self, msg: message.Resume, link: object, put: Put) -> None:
        """Resumes an attempt on a new link, from the requested item."""
        attempt = self._attempts.get(msg.attempt)
        if attempt is None:
            put(self._refuse_unknown(msg.attempt))
        elif _rewind(attempt, msg):
            attempt.attach(link, put)
            self.stop_incomplete_call(attempt)
        else:
            put(_items_discarded(attempt))

    def stop_incomplete_call(self, attempt: state.Attempt) -> None:
        """Stops a call whose body can't be completed: its link is closed.

        The rest of a body can't be sent on another link. The app server would
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
        """Starts the attempts that the admission policy permits."""
        for attempt_id in self._queue.start_admitted():
            attempt = self._attempts.get(attempt_id)
            self._runner.start(
                attempt,
                factory.make_demand(attempt, self._configuration.current),
            )

    def apply_configuration(self, cfg: model.Configuration) -> None:
        """Applies a new configuration to waiting and running attempts."""
        self._queue.set_policies(
            self._registry.get('fairness', cfg.policies.fairness)(),
            self._registry.get('admission', cfg.policies.admission),
            self._demand_of,
        )
        self._queue.headroom = cfg.policies.headroom
        if self._leaving.is_draining:
            self.refuse_unstarted()
        self._on_change()

    def refuse_unstarted(self) -> None:
        """Refuses all attempts that have not started, except recoveries."""
        for attempt in self._attempts:
            if not attempt.started and not attempt.dispatch.recover:
                self.stop(attempt, request_error.UpstreamLeavingError.code)

    def _demand_of(self, attempt_id: str) -> policy.Demand | None:
        attempt = self._attempts.get(attempt_id)
        return self._demand(attempt) if attempt is not None else None

    def _demand(self, attempt: state.Attempt) -> policy.Demand:
        return factory.make_demand(attempt, self._configuration.current)

    def _handle_known(
        self, dispatch: message.Dispatch, link: object, put: Put
    ) -> bool:
        """Handles a known attempt; returns False if it is to be run."""
        attempt = self._attempts.get(dispatch.attempt)
        terminal = self._terminal_of(dispatch.attempt)
        is_call = dispatch.kind == kind.CALL
        if dispatch.recover and not is_call and _may_recover(terminal):
            # The engine could not be reached the last time, or the last
            # request came from another router. It may still have the answer
            # that is no longer kept here.
            self._attempts.drop(dispatch.attempt)
            return False
        if attempt is not None:
            self._reattach(attempt, dispatch, link, put)
        elif terminal is not None:
            put(terminal)
        return attempt is not None or terminal is not None

    def _terminal_of(self, attempt_id: str) -> message.Message | None:
        """Returns the terminal message of an attempt; None if unknown."""
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            return attempt.terminal
        return self._attempts.tombstones.find(attempt_id)

    def _reattach(
        self,
        attempt: state.Attempt,
        dispatch: message.Dispatch,
        link: object,
        put: Put,
    ) -> None:
        fences = self._attempts.fences
        if not fences.admit(dispatch.request, dispatch.fence):
            # Failed, not Refused: the attempt may have run for its new owner.
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
            # The new owner has none of the items that the previous owner
            # acknowledged.
            put(_items_discarded(attempt))
        else:
            attempt.tail.restart(dispatch.credit)
            attempt.attach(link, put)

    def _refuse_unknown(self, attempt_id: str) -> message.Message:
        tombstone = self._attempts.tombstones.find(attempt_id)
        if tombstone is None:
            tombstone = message.Refused(
                attempt_id,
                request_error.NotFoundError.code,
                'never seen',
                0,
            )
            self._attempts.tombstones.add(
                attempt_id, tombstone, UNKNOWN_TOMBSTONE_TTL_S
            )
        return tombstone

    def _withdraw_known(self, attempt: state.Attempt, put: Put) -> None:
        if attempt.started or attempt.stage is state.Stage.ENDED:
            put(message.Running(attempt.id))
            return
        self._queue.remove(attempt.id)
        if attempt.stage is state.Stage.CONNECTING:
            self._runner.stop_attempt(attempt, 'withdrawn')
        attempt.put = put
        self._attempts.end(attempt, message.Withdrawn(attempt.id))
        self._on_change()

    async def _admit_after_configuration(self, attempt: state.Attempt) -> None:
        revision = attempt.dispatch.revision
        try:
            async with asyncio.timeout(self._settings.timing.config_s):
                await self._configuration.wait_for(revision)
        except TimeoutError:
            event.note(event.ConfigurationNotHad(revision=revision))
        self._admit(attempt)

    def _admit(self, attempt: state.Attempt) -> None:
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
        refusal = dispatch_check.find_refusal(
            dispatch, self._admission_state(demand)
        )
        if refusal is not None:
            self._attempts.refuse(
                attempt, refusal.code, refusal.detail, refusal.retry_after_ms
            )
        elif dispatch.recover:
            self._queue.mark_running(demand)
            self._runner.start(attempt, demand)
        else:
            attempt.stage = state.Stage.QUEUED
            self._queue.push(demand)
            # Run the queue immediately, not in the next loop iteration: until
            # then the attempt would count as queued before an idle engine,
            # which the expected wait of the rest of a burst is based on, and
            # it could be swept as having waited too long.
            self.pump()
        self._on_change()

    def _admission_state(
        self, demand: policy.Demand
    ) -> dispatch_check.SidecarState:
        is_model = self._settings.upstream.kind == 'model'
        wait_s = self._queue.expected_wait_s(demand.rank(demand.arrived))
        return dispatch_check.SidecarState(
            incarnation=self._incarnation,
            revision=self._configuration.revision,
            leaving=self._leaving.refusal_reason(),
            kinds=kind.GENERATIONS if is_model else (kind.CALL,),
            fences=self._attempts.fences,
            queued=self._queue.queued,
            max_queued=self._settings.bounds.queue,
            expected_wait_ms=round(wait_s * 1000),
        )


def _may_recover(terminal: message.Message | None) -> bool:
    """Whether a recovery may find out more about an ended attempt."""
    if not isinstance(terminal, message.Failed) or terminal.gone:
        return False
    return (
        terminal.ran == base.Ran.UNKNOWN
        or terminal.code == request_error.OutcomeUnknownError.code
    )


def _has_run(terminal: message.Message | None) -> bool:
    """Whether an attempt that ended here is known to have run.

    An engine drops old generations. If a recovery then asks for one, the engine
    does not know it, which does not prove that it never ran.
    """
    if isinstance(terminal, message.Failed):
        return terminal.ran == base.Ran.YES
    return isinstance(terminal, message.Finished)


def _rewind(attempt: state.Attempt, msg: message.Resume) -> bool:
    """Rewinds to the requested item; returns False if it was dropped."""
    seq = msg.seq
    if attempt.dispatch.recover:
        # The router has items from a previous sidecar, which this one may not
        # have read from the engine yet. Resume from what is available; the
        # router drops duplicates. Reporting the items as lost would end a
        # request whose generation is still running.
        seq = min(seq, attempt.tail.end)
    return attempt.tail.rewind(seq, msg.credit + msg.seq - seq)


def _items_discarded(attempt: state.Attempt) -> message.Message:
    return message.Failed(
        attempt.id,
        request_error.OutcomeUnknownError.code,
        'items no longer kept',
        base.Ran.YES.value,
        False,
    )
