"""Routers with the real durable state, around fake sidecars."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill_router.durable import answer as durable_answer
from quetzalsill_router.durable import entry as durable_entry
from quetzalsill_router.durable import registration, setting, state
from tests.quetzalsill_router.durable import fakes

__all__ = [
    'CFG',
    'Router',
    'Sidecar',
    'Response',
    'Cluster',
    'make_entry',
    'wait_until',
]

ACCOUNT = 'board'
RUN_S = 3.0
RETRY_S = 0.2
TRIES = 50
STEP_S = 0.0005

CFG = setting.Durable(heartbeat_s=1.0, accept_s=2.0, ttl_heartbeats=4)


def make_entry(name, key='', idempotent=False, digest='d'):
    """Makes an entry whose payload is its name."""
    return durable_entry.Entry(
        account=ACCOUNT,
        profile='patient',
        model='planner',
        kind='completion',
        payload=name.encode(),
        stream=False,
        durable=True,
        idempotent=idempotent,
        idempotency_key=key,
        digest=digest,
        accepted_ms=0,
        deadline_ms=3_600_000,
    )


@dataclasses.dataclass
class Response:
    """What the caller of a request was told at the end.

    Attributes:
      name: Name of the request.
      key: Its idempotency key.
      ran: Whether it ran, as the caller was told; None if the caller heard
        nothing.
      request: The id that the caller was given; empty if none.
      answer: The events that it got.
    """

    name: str
    key: str
    ran: base.Ran | None = None
    request: str = ''
    answer: list[bytes] | None = None


class Sidecar:
    """Keeps to what the real one promises: fences, tombstones, one run."""

    def __init__(self, name):
        self.name = name
        self.runs = collections.Counter()
        self.incarnation = 1
        self._reset()

    def restart(self):
        """Loses what it knew and what was running."""
        self.incarnation += 1
        for work in self._work.values():
            if not work.done():
                work.set_result(None)
        self._reset()

    def _reset(self):
        self._fences = {}
        self._work = {}
        self._tombstones = set()

    async def dispatch(self, entry, run, recover):
        """Runs an entry, or attaches to its run.

        Returns:
          The answer's events; None if the run was lost.

        Raises:
          OverloadedError: Not run under this attempt, and never will be.
        """
        self._check(entry, run)
        work = self._work.get(entry.request)
        if work is None and recover:
            self._tombstones.add(run.attempt)
            raise request_error.OverloadedError('nothing to attach to')
        if work is None:
            work = self._start(entry)
        return await asyncio.shield(work)

    def _check(self, entry, run):
        newest = max(self._fences.get(entry.request, 0), entry.fence)
        self._fences[entry.request] = newest
        if (
            run.incarnation != self.incarnation
            or entry.fence < newest
            or run.attempt in self._tombstones
        ):
            raise request_error.OverloadedError('refused')

    def _start(self, entry):
        loop = asyncio.get_running_loop()
        work = loop.create_future()
        self._work[entry.request] = work
        name = entry.payload.decode()
        self.runs[name] += 1
        events = [f'{name} {self.name} {self.runs[name]}'.encode()]
        loop.call_later(RUN_S, lambda: work.done() or work.set_result(events))
        return work


class Router:
    """One process: its durable state and a plain way to serve requests."""

    def __init__(self, cluster, node, incarnation, cfg=CFG):
        self.node = node
        self.incarnation = incarnation
        self.link = fakes.Link(cluster.platform)
        self._cluster = cluster
        self._attempts = itertools.count(1)
        self._tasks = set()
        self.superseded = False
        self.state = state.DurableState(
            fakes.Table(self.link),
            fakes.Objects(self.link),
            registration.Router(node, incarnation, '', 'ikeja-hall', 1),
            cfg,
            self._recover,
            lambda: setattr(self, 'superseded', True),
        )
        self.state.start()

    def serve(self, entry):
        """Serves a request in the background."""
        response = Response(entry.payload.decode(), entry.idempotency_key)
        self._cluster.responses.append(response)
        task = asyncio.create_task(self._serve(entry, response))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return response

    def pause(self):
        """Stops the process as `kill -STOP` does."""
        self.link.awake.clear()

    def wake(self):
        """Lets the process go on."""
        self.link.awake.set()

    def kill(self):
        """Ends the process: nothing leaves it any more."""
        self.link.dead = True
        self.link.awake.set()

    async def _serve(self, entry, response):
        try:
            answer = await self._to_answer(entry, response)
        except request_error.RequestError as exc:
            answer = durable_answer.failure(exc)
        response.ran = answer.ran
        response.answer = answer.events

    async def _to_answer(self, entry, response):
        await self.state.journal.accept(entry)
        response.request = entry.request
        if entry.idempotency_key:
            claim = await self.state.claims.claim(entry)
            response.request = claim.request
            if claim.request != entry.request:
                stored = await self.state.answers.wait(
                    entry.account, claim.request, 120.0
                )
                if stored.answer is None:
                    raise request_error.OutcomeUnknownError
                return stored.answer
        answer = await self._run(entry)
        await self.state.journal.settle(entry, answer)
        return answer

    async def _recover(self, entry):
        if entry.run is not None:
            try:
                events = await self._dispatch(entry, entry.run, recover=True)
            except request_error.OverloadedError:
                sidecar = self._cluster.sidecars[entry.run.upstream]
                known = sidecar.incarnation == entry.run.incarnation
                if not (known or entry.idempotent):
                    exc = request_error.OutcomeUnknownError()
                    answer = durable_answer.failure(exc)
                    await self.state.journal.settle(entry, answer)
                    return
            else:
                if events is not None or not entry.idempotent:
                    await self.state.journal.settle(entry, _to_answer(events))
                    return
        await self.state.journal.settle(entry, await self._run(entry))

    async def _run(self, entry):
        for _ in range(TRIES):
            sidecar = self._cluster.pick()
            attempt = f'{self.node}/{self.incarnation}/{next(self._attempts)}'
            run = durable_entry.Run(attempt, sidecar.name, sidecar.incarnation)
            try:
                await self.state.journal.record_dispatch(entry, run)
                events = await self._dispatch(entry, run, recover=False)
            except (
                request_error.StoreUnavailableError,
                request_error.OverloadedError,
            ):
                await asyncio.sleep(RETRY_S)
                continue
            if events is None and entry.idempotent:
                continue
            return _to_answer(events)
        return durable_answer.failure(request_error.OverloadedError())

    async def _dispatch(self, entry, run, recover):
        await self.link.wait_until_running()
        sidecar = self._cluster.sidecars[run.upstream]
        try:
            return await sidecar.dispatch(entry, run, recover)
        finally:
            await self.link.wait_until_running()


class Cluster:
    """All processes and the platform."""

    def __init__(self, nodes, sidecars=2, cfg=CFG):
        self.platform = fakes.Platform()
        self.responses = []
        self.sidecars = {
            f'planner-{n}': Sidecar(f'planner-{n}') for n in range(sidecars)
        }
        self._rotation = itertools.cycle(self.sidecars.values())
        self._cfg = cfg
        self.routers = {}
        # Tasks of killed routers wait for ever; without a reference they
        # would be collected while they wait.
        self._started = []
        for node in nodes:
            self.start(node, 1)

    def start(self, node, incarnation):
        """Starts a router process."""
        router = Router(self, node, incarnation, self._cfg)
        self.routers[node] = router
        self._started.append(router)
        return router

    def pick(self):
        """Chooses an upstream, in turn."""
        return next(self._rotation)

    def runs(self, name):
        """Counts the runs of a request on all upstreams."""
        return sum(sidecar.runs[name] for sidecar in self.sidecars.values())


async def wait_until(condition, step_s=STEP_S):
    """Waits for a condition and gives its value."""
    while not (value := condition()):  # noqa: ASYNC110 (virtual time)
        await asyncio.sleep(step_s)
    return value


def _to_answer(events):
    if events is None:
        exc = request_error.UpstreamFailedError('the engine was lost')
        return durable_answer.failure(exc)
    return durable_answer.Answer(events=events)
