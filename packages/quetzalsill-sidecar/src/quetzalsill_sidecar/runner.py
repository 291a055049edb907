"""Runs attempts on the upstream, each in a task of its own."""

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

RETRY_MS = 1000


class Runner:
    """Hands admitted attempts to the upstream and brings their answers.

    Attributes:
      engine: Client of the engine; unused beside an app server.
    """

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        attempts: table.Attempts,
        queue: schedule.Schedule,
        on_change: Callable[[], None],
    ) -> None:
        """Prepares to run.

        Args:
          settings: Settings of the sidecar.
          attempts: All attempts known.
          queue: Told of tokens and of ends.
          on_change: Called when the upstream may take more.
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
    def busy(self) -> int:
        """Number of attempts whose tasks still run."""
        return len(self._tasks)

    def start(self, attempt: state.Attempt, demand: policy.Demand) -> None:
        """Runs an attempt in a task of its own."""
        attempt.stage = state.Stage.CONNECTING
        attempt.task = asyncio.create_task(self._run(attempt, demand))
        self._tasks.add(attempt.task)
        attempt.task.add_done_callback(lambda task: self._reap(attempt, task))

    def stop_attempt(self, attempt: state.Attempt, code: str) -> None:
        """Ends an attempt that was admitted, for the named cause."""
        if attempt.task is not None and not attempt.stop_code:
            attempt.stop_code = code
            attempt.task.cancel()

    async def stop(self) -> None:
        """Drops all tasks; for the end of the process."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._canceller.stop()

    def _reap(self, attempt: state.Attempt, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        # A fault of this program; without a terminal the caller would wait
        # for its deadline, and the place on the engine stay taken.
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
                    terminal = await self._serve(attempt, demand)
            except TimeoutError:
                terminal = self._stopped(
                    attempt, request_error.DeadlineError.code
                )
            except asyncio.CancelledError:
                if not attempt.stop_code:
                    raise
                terminal = self._stopped(attempt, attempt.stop_code)
            except (
                error.UpstreamConnectError,
                error.RequestMalformedError,
            ) as exc:
                terminal = _not_written(attempt, exc)
            self._end(attempt, terminal)

    async def _serve(
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
        progress = self._progress(attempt)
        if attempt.dispatch.recover:
            return await generate.recover(attempt, self.engine, progress)
        return await generate.run(
            attempt, self.engine, progress, demand.priority, start
        )

    def _progress(self, attempt: state.Attempt) -> generation.Generation:
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

    def _stopped(self, attempt: state.Attempt, code: str) -> message.Message:
        if attempt.started:
            return outcome.failed(attempt.id, code, code, _ran(attempt))
        if attempt.dispatch.recover:
            return outcome.failed(attempt.id, code, code, base.Ran.UNKNOWN)
        return message.Refused(attempt.id, code, code, 0)

    def _end(self, attempt: state.Attempt, terminal: message.Message) -> None:
        self._attempts.end(attempt, terminal)
        if _may_still_run(attempt, terminal):
            self._canceller.cancel(
                attempt.id, lambda: self._release(attempt, whole=False)
            )
        else:
            whole = isinstance(terminal, message.Finished)
            self._release(attempt, whole=whole)

    def _release(self, attempt: state.Attempt, *, whole: bool) -> None:
        self._queue.release(attempt.id, whole=whole)
        self._on_change()


def _ran(attempt: state.Attempt) -> base.Ran:
    """Whether a started attempt ran: of a call only its answer proves it."""
    unanswered = attempt.dispatch.kind == kind.CALL and attempt.head is None
    return base.Ran.UNKNOWN if unanswered else base.Ran.YES


def _may_still_run(attempt: state.Attempt, terminal: message.Message) -> bool:
    """Whether the engine must be told that the answer is not wanted.

    A recovery that could not reach the engine may be tried again, and the
    work that it is after must live on until then.
    """
    if attempt.dispatch.kind == kind.CALL or not isinstance(
        terminal, message.Failed
    ):
        return False
    if terminal.code == request_error.OutcomeUnknownError.code:
        return False
    return terminal.ran != base.Ran.NO and not terminal.gone


def _not_written(
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
        attempt.id, request_error.NoUpstreamError.code, exc.detail, RETRY_MS
    )
