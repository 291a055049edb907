"""The course of the demo."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING, Any

from quetzalsill_dev import board, operator_cli
from quetzalsill_dev.demo import ask, check, table

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from quetzalsill_dev import cluster, launch

__all__ = ['Demo', 'StepFailedError', 'heading']

PLAN_TOKENS = 700
NOTE_TOKENS = 40
QUERY_TOKENS = 60
CUT_TOKENS = 24
PROGRESS_BOUND_S = 30.0
PROGRESS_POLL_S = 0.1


class StepFailedError(Exception):
    """A step of the demo did not come about."""


class Demo:
    """Asks, edits and kills, and keeps what was asked.

    Attributes:
      asked: Every question with its answer, in order of asking.
    """

    def __init__(
        self, running: cluster.Cluster, say: Callable[[str], None]
    ) -> None:
        self.asked: list[ask.Asked] = []
        self._cluster = running
        self._dead_audits: list[dict[str, Any]] = []
        self._say = say
        self._routers = itertools.cycle(running.routers)
        self._start = time.monotonic()

    async def run(self) -> None:
        """Goes through the demo.

        Raises:
          StepFailedError: An edit or a kill did not come about.
        """
        first = self._ask_for_plans('ikeja-depot', 'apapa-depot')
        await self._ask_all(self._day('before the edit'))
        await self._edit_profile()
        await self._ask_all(self._day('after the edit', CUT_TOKENS))
        second = self._ask_for_plans('lekki-depot', 'surulere-depot')
        await self._kill_engine_of_a_plan()
        await self._ask_all(self._day('after the kill', CUT_TOKENS))
        self.tell('waiting for the loading plans')
        await asyncio.gather(*first, *second)
        await self._check()

    def tell(self, text: str) -> None:
        """Prints a line with the time since the start."""
        self._say(f'[{time.monotonic() - self._start:5.1f} s] {text}')

    def _day(self, when: str, answered: int = 0) -> list[ask.Ask]:
        """What comes at any time of the day."""
        return [
            ask.audit_note(f'F-7 {when}', NOTE_TOKENS),
            ask.audit_note(f'F-9 {when}', NOTE_TOKENS),
            ask.slot_query(f'kiosk A {when}', QUERY_TOKENS, answered),
            ask.slot_query(f'kiosk B {when}', QUERY_TOKENS, answered),
            ask.order('kiosk-a'),
            ask.order('kiosk-b'),
        ]

    def _ask_for_plans(self, *depots: str) -> list[asyncio.Task[None]]:
        self.tell(f'loading plans are asked for {" and ".join(depots)}')
        return [
            self._ask(ask.loading_plan(depot, PLAN_TOKENS)) for depot in depots
        ]

    async def _ask_all(self, asks: Iterable[ask.Ask]) -> None:
        await asyncio.gather(*[self._ask(item) for item in asks])

    def _ask(self, item: ask.Ask) -> asyncio.Task[None]:
        asked = ask.Asked(item, next(self._routers))
        self.asked.append(asked)
        return asyncio.create_task(self._follow(asked))

    async def _follow(self, asked: ask.Asked) -> None:
        await ask.send(asked, self._cluster.routers[asked.router])
        self.tell(f'  {table.row(asked)}')

    async def _edit_profile(self) -> None:
        """Lets an operator edit a profile and waits until all obey."""
        self.tell(
            f'an operator cuts answers under profile prompt to {CUT_TOKENS} '
            'tokens'
        )
        urls = [router.url for router in self._cluster.routers.values()]
        change = f'--set=max_output_tokens={CUT_TOKENS}'
        ended = await operator_cli.run(
            urls, 'profile', 'edit', 'prompt', change
        )
        if ended.exit_status:
            raise StepFailedError(ended.stderr)
        fleet = await operator_cli.run_json(urls, 'config', 'status')
        revisions = {node['revision'] for node in fleet['nodes']}
        self.tell(
            f'in force on {len(fleet["nodes"])} processes, revision '
            f'{", ".join(map(str, revisions))}'
        )
        if len(revisions) != 1:
            raise StepFailedError('the processes differ in their revision')

    async def _kill_engine_of_a_plan(self) -> None:
        """Kills the engine that is in the middle of a loading plan."""
        name = await self._engine_of_a_plan()
        self._dead_audits.append(await self._cluster.audit(name))
        self.tell(f'engine {name} is killed in the middle of a plan')
        self._cluster.upstreams[name].kill()
        await self._cluster.upstreams[name].wait()

    async def _engine_of_a_plan(self) -> str:
        deadline = time.monotonic() + PROGRESS_BOUND_S
        while time.monotonic() < deadline:
            for name, audit in (await self._audits(self._engines())).items():
                if any(map(_is_in_the_middle, audit['runs'])):
                    return name
            await asyncio.sleep(PROGRESS_POLL_S)
        raise StepFailedError('no plan is running on an engine')

    async def _check(self) -> None:
        """Checks every answer against what the stand-ins ran."""
        engines = await self._audits(self._engines())
        services = await self._audits(self._services())
        check.check_against_audits(
            self.asked,
            [*engines.values(), *self._dead_audits],
            services.values(),
        )

    def _engines(self) -> list[launch.Process]:
        processes = self._cluster.upstreams.values()
        return [p for p in processes if p.running and 'model' in p.name]

    def _services(self) -> list[launch.Process]:
        processes = self._cluster.upstreams.values()
        return [p for p in processes if p.running and 'app' in p.name]

    async def _audits(
        self, processes: list[launch.Process]
    ) -> dict[str, dict[str, Any]]:
        return {p.name: await self._cluster.audit(p.name) for p in processes}


def _is_in_the_middle(run: dict[str, Any]) -> bool:
    ended = run['finished'] or run['cancelled']
    return not ended and run['tokens'] >= CUT_TOKENS


def heading() -> str:
    """What the demo is about to do."""
    zones = ', '.join(board.ZONES)
    return (
        'Two platform stand-ins, three engines and one plain service in '
        f'{zones}; a sidecar beside each; two routers.'
    )
