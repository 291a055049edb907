"""Runs attempts on the upstream, each in its own task."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.net import deadline
from quetzalsill.telemetry import trace
from quetzalsill.wire import kind, message
from quetzalsill_sidecar import error, event
from quetzalsill_sidecar.attempt import state
from quetzalsill_sidecar.upstream import (
    call,
    canceller,
    generate,
    generation,
    http,
    outcome,
)
from quetzalsill_sidecar.upstream import engine as engine_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill_sidecar import settings as settings_lib
    from quetzalsill_sidecar.attempt import table
    from quetzalsill_sidecar.queue import policy, schedule

__all__ = ['Runner']

RETRY_AFTER_MS = 1000


class Runner:
    """Sends admitted attempts to the upstream and delivers their answers.

    Attributes:
      engine: Client of the engine; unused if the upstream is an app server.
    """

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        attempts: table.Attempts,
        queue: schedule.Schedule,
        on_change: Callable[[], None],
    ) -> None:
        """Creates an idle runner.

        Args:
          settings: Settings of the sidecar.
          attempts: All known attempts.
          queue: Notified of generated tokens and of ended attempts.
          on_change: Called when the upstream may have free capacity.
        """
        self._timing = settings.timing
        self._origin = http.Origin.parse(settings.upstream.url)
        self.engine = engine_lib.Engine(
            self._origin, self._timing.connect_s, self._timing.answer_s
        )
        self._attempts = attempts
        self._queue = queue
        self._on_change = on_change
        self._canceller = canceller.Canceller(self.engine)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def task_count(self) -> int:
        """Number of attempts whose tasks are running."""
        return len(self._tasks)

    def start(self, attempt: state.Attempt, demand: policy.Demand) -> None:
        """Runs an attempt in its own task."""
        attempt.stage = state.Stage.CONNECTING
        attempt.task = asyncio.create_task(self._run(attempt, demand))
        self._tasks.add(attempt.task)
        attempt.task.add_done_callback(lambda task: self._reap(attempt, task))

    def stop_attempt(self, attempt: state.Attempt, code: str) -> None:
        """Stops an admitted attempt; `code` is the error code."""
        if attempt.task is not None and not attempt.stop_code:
            attempt.stop_code = code
            attempt.task.cancel()

    async def stop(self) -> None:
        """Cancels all tasks; called at process exit."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._canceller.stop()

    def _reap(self, attempt: state.Attempt, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        # A bug in the sidecar. Without a terminal message the caller would
        # wait until its deadline, and the slot on the engine would leak.
        event.note(
            event.AttemptCrashed(
                attempt=attempt.id,
            ),
            exc=task.exception(),
        )
        detail = 'the sidecar failed'
        self._end(
            attempt,
            outcome.failed(
                attempt.id,
                request_error.RequestError.code,
                detail,
                base.Ran.UNKNOWN,
            ),
        )

    async def _run(self, attempt: state.Attempt, demand: policy.Demand) -> None:
        dispatch = attempt.dispatch
        with trace.span(
            'sidecar.attempt', parent=dispatch.trace, attempt=attempt.id
        ):
            try:
                async with deadline.timeout_at(attempt.deadline):
                    terminal = await self._execute(attempt, demand)
            except TimeoutError:
                terminal = self._stopped_terminal(
                    attempt, request_error.DeadlineError.code
                )
            except asyncio.CancelledError:
                if not attempt.stop_code:
                    raise
                terminal = self._stopped_terminal(attempt, attempt.stop_code)
            except (
                error.UpstreamConnectError,
                error.RequestMalformedError,
            ) as exc:
                terminal = _not_sent(attempt, exc)
            self._end(attempt, terminal)

    async def _execute(
        self, attempt: state.Attempt, demand: policy.Demand
    ) -> message.Message:
        def start() -> None:
            attempt.start(asyncio.get_running_loop().time())
            event.note(event.AttemptStarted(attempt=attempt.id))

        if attempt.dispatch.kind == kind.CALL:
            if attempt.dispatch.recover:
                return call.not_found(attempt.id)
            return await call.run(
                attempt, self._origin, self._timing.connect_s, start
            )
        progress = self._make_generation(attempt)
        if attempt.dispatch.recover:
            return await generate.recover(attempt, self.engine, progress)
        return await generate.run(
            attempt, self.engine, progress, demand.priority, start
        )

    def _make_generation(self, attempt: state.Attempt) -> generation.Generation:
        async def deliver(items: list[bytes]) -> None:
            if not attempt.started:
                attempt.start(asyncio.get_running_loop().time())
            self._queue.produce(attempt.id, len(items))
            attempt.deliver(items)
            await attempt.tail.wait_for_room()

        timing = self._timing
        bounds = generation.Timeouts(
            timing.stall_s, timing.resume_s, timing.refused_s
        )
        return generation.Generation(self.engine, attempt.id, bounds, deliver)

    def _stopped_terminal(
        self, attempt: state.Attempt, code: str
    ) -> message.Message:
        if attempt.started:
            return outcome.failed(attempt.id, code, code, _run_state(attempt))
        if attempt.dispatch.recover:
            return outcome.failed(attempt.id, code, code, base.Ran.UNKNOWN)
        return message.Refused(attempt.id, code, code, 0)

    def _end(self, attempt: state.Attempt, terminal: message.Message) -> None:
        self._attempts.end(attempt, terminal)
        if _may_still_run(attempt, terminal):
            self._canceller.cancel(
                attempt.id, lambda: self._release(attempt, completed=False)
            )
        else:
            completed = isinstance(terminal, message.Finished)
            self._release(attempt, completed=completed)

    def _release(self, attempt: state.Attempt, *, completed: bool) -> None:
        self._queue.release(attempt.id, whole=completed)
        self._on_change()


def _run_state(attempt: state.Attempt) -> base.Ran:
    """Whether a started attempt ran; for a call only its response proves it."""
    unanswered = attempt.dispatch.kind == kind.CALL and attempt.head is None
    return base.Ran.UNKNOWN if unanswered else base.Ran.YES


def _may_still_run(attempt: state.Attempt, terminal: message.Message) -> bool:
    """Whether the attempt must be cancelled on the engine.

    A recovery that could not reach the engine may be retried, and the
    generation that it looks for must keep running until then.
    """
    if attempt.dispatch.kind == kind.CALL or not isinstance(
        terminal, message.Failed
    ):
        return False
    if terminal.code == request_error.OutcomeUnknownError.code:
        return False
    return terminal.ran != base.Ran.NO and not terminal.gone


def _not_sent(
    attempt: state.Attempt,
    exc: error.UpstreamConnectError | error.RequestMalformedError,
) -> message.Message:
    if attempt.started:
        return outcome.failed(
            attempt.id, request_error.UpstreamFailedError.code, exc.detail
        )
    if isinstance(exc, error.RequestMalformedError):
        return message.Refused(
            attempt.id, request_error.BadRequestError.code, exc.detail, 0
        )
    return message.Refused(
        attempt.id,
        request_error.NoUpstreamError.code,
        exc.detail,
        RETRY_AFTER_MS,
    )
