"""Steps of the demo."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING, Any

from quetzalsill_dev import board, operator_cli
from quetzalsill_dev.demo import check, requests, table

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from quetzalsill_dev import cluster, launch

__all__ = ['Demo', 'StepFailedError', 'heading']

PLAN_TOKENS = 700
NOTE_TOKENS = 40
QUERY_TOKENS = 60
OUTPUT_LIMIT_TOKENS = 24
PROGRESS_TIMEOUT_S = 30.0
PROGRESS_POLL_INTERVAL_S = 0.1


class StepFailedError(Exception):
    """A step of the demo failed."""


class Demo:
    """Sends requests, edits a profile and kills an engine.

    Attributes:
      sent: Every request with its answer, in the order of sending.
    """

    def __init__(
        self, running: cluster.Cluster, print_line: Callable[[str], None]
    ) -> None:
        self.sent: list[requests.SentRequest] = []
        self._cluster = running
        self._audits_of_killed: list[dict[str, Any]] = []
        self._print_line = print_line
        self._routers = itertools.cycle(running.routers)
        self._started_at = time.monotonic()

    async def run(self) -> None:
        """Runs all steps of the demo.

        Raises:
          StepFailedError: The edit or the kill failed.
        """
        first = self._request_plans('ikeja-depot', 'apapa-depot')
        await self._send_all(self._short_requests('before the edit'))
        await self._edit_profile()
        await self._send_all(
            self._short_requests('after the edit', OUTPUT_LIMIT_TOKENS)
        )
        second = self._request_plans('lekki-depot', 'surulere-depot')
        await self._kill_engine_of_a_plan()
        await self._send_all(
            self._short_requests('after the kill', OUTPUT_LIMIT_TOKENS)
        )
        self.report('waiting for the loading plans')
        await asyncio.gather(*first, *second)
        await self._check()

    def report(self, text: str) -> None:
        """Prints a line with the time since the start."""
        self._print_line(
            f'[{time.monotonic() - self._started_at:5.1f} s] {text}'
        )

    def _short_requests(
        self, when: str, limit: int = 0
    ) -> list[requests.Request]:
        """Returns the short requests that are sent in every phase."""
        return [
            requests.audit_note(f'F-7 {when}', NOTE_TOKENS),
            requests.audit_note(f'F-9 {when}', NOTE_TOKENS),
            requests.slot_query(f'kiosk A {when}', QUERY_TOKENS, limit),
            requests.slot_query(f'kiosk B {when}', QUERY_TOKENS, limit),
            requests.order('kiosk-a'),
            requests.order('kiosk-b'),
        ]

    def _request_plans(self, *depots: str) -> list[asyncio.Task[None]]:
        self.report(f'requesting loading plans for {" and ".join(depots)}')
        return [
            self._start(requests.loading_plan(depot, PLAN_TOKENS))
            for depot in depots
        ]

    async def _send_all(self, batch: Iterable[requests.Request]) -> None:
        await asyncio.gather(*[self._start(item) for item in batch])

    def _start(self, item: requests.Request) -> asyncio.Task[None]:
        sent = requests.SentRequest(item, next(self._routers))
        self.sent.append(sent)
        return asyncio.create_task(self._send(sent))

    async def _send(self, sent: requests.SentRequest) -> None:
        await requests.send(sent, self._cluster.routers[sent.router])
        self.report(f'  {table.format_row(sent)}')

    async def _edit_profile(self) -> None:
        """Edits a profile as an operator and waits until it is active."""
        self.report(
            'an operator limits answers of profile prompt to '
            f'{OUTPUT_LIMIT_TOKENS} tokens'
        )
        urls = [router.url for router in self._cluster.routers.values()]
        option = f'--set=max_output_tokens={OUTPUT_LIMIT_TOKENS}'
        result = await operator_cli.run(
            urls, 'profile', 'edit', 'prompt', option
        )
        if result.exit_status:
            raise StepFailedError(result.stderr)
        fleet = await operator_cli.run_json(urls, 'config', 'status')
        revisions = {node['revision'] for node in fleet['nodes']}
        self.report(
            f'active on {len(fleet["nodes"])} processes, revision '
            f'{", ".join(map(str, revisions))}'
        )
        if len(revisions) != 1:
            raise StepFailedError('the processes run different revisions')

    async def _kill_engine_of_a_plan(self) -> None:
        """Kills an engine that is generating a loading plan."""
        name = await self._engine_of_a_plan()
        self._audits_of_killed.append(await self._cluster.audit(name))
        self.report(f'killing engine {name} while it generates a plan')
        self._cluster.upstreams[name].kill()
        await self._cluster.upstreams[name].wait()

    async def _engine_of_a_plan(self) -> str:
        deadline = time.monotonic() + PROGRESS_TIMEOUT_S
        while time.monotonic() < deadline:
            for name, audit in (await self._audits(self._engines())).items():
                if any(map(_is_mid_generation, audit['runs'])):
                    return name
            await asyncio.sleep(PROGRESS_POLL_INTERVAL_S)
        raise StepFailedError('no engine is generating a plan')

    async def _check(self) -> None:
        """Checks every answer against the audits of the stand-ins."""
        engines = await self._audits(self._engines())
        services = await self._audits(self._services())
        check.check_against_audits(
            self.sent,
            [*engines.values(), *self._audits_of_killed],
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


def _is_mid_generation(run: dict[str, Any]) -> bool:
    has_ended = run['finished'] or run['cancelled']
    return not has_ended and run['tokens'] >= OUTPUT_LIMIT_TOKENS


def heading() -> str:
    """Returns the description of the cluster that the demo starts."""
    zones = ', '.join(board.ZONES)
    return (
        'Two platform stand-ins, three engines and one plain service in '
        f'{zones}; a sidecar beside each; two routers.'
    )
