"""One soak: processes, load, strikes, and the verdict."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_dev import launch
from quetzalsill_dev.soak import load, plan, stage, strike, verdict

if TYPE_CHECKING:
    import pathlib

__all__ = ['Result', 'run']

CALLERS = 8
# Everything is back this long after the last fault; the adapter waits 2.2 s
# for entries that lapsed, and pauses of up to 2 s lie between its tries.
CALM_S = 6.0
PROBES = 10
MOST_LOST = 1


@dataclasses.dataclass(slots=True)
class Result:
    """What a soak found.

    Attributes:
      seed: Its seed.
      asked: Requests sent.
      served: Answers with success that came whole.
      lost: Requests that should have been served, and were not.
      strikes: Faults done.
      broken: What must not be, a line each.
    """

    seed: int
    asked: int
    served: int
    lost: int
    strikes: int
    broken: list[str]

    @property
    def lost_share(self) -> float:
        """Share of all requests that were lost."""
        return self.lost / max(1, self.asked)


async def run(
    seed: int,
    length_s: float,
    gateways: int = 3,
    folder: pathlib.Path | None = None,
    *,
    goes_back: bool = True,
    only_drills: bool = False,
) -> Result:
    """Plays one seed.

    Args:
      seed: Draws the strikes and the load.
      length_s: How long faults are done, in seconds.
      gateways: Processes under test.
      folder: Keeps settings and logs; a temporary one if None.
      goes_back: Whether drills have the store lose what it was told; they are
        outages as long otherwise.
      only_drills: Whether drills are all that is done, with what is meant to
        overlap with them.
    """
    strikes = (plan.drills if only_drills else plan.draw)(seed, length_s)
    async with launch.Launcher(folder) as launcher:
        scene = stage.Stage(launcher, gateways)
        try:
            await scene.start(desks=3, engines=4)
            striker = strike.Striker(scene, goes_back=goes_back)
            return await _play(scene, seed, strikes, striker)
        finally:
            await scene.stop()


async def _play(
    scene: stage.Stage,
    seed: int,
    strikes: list[plan.Strike],
    striker: strike.Striker,
) -> Result:
    traffic = load.Load(scene, seed)
    callers = [asyncio.create_task(traffic.run()) for _ in range(CALLERS)]
    await asyncio.sleep(1.0)
    begun_s = asyncio.get_running_loop().time()
    for one in strikes:
        delay_s = begun_s + one.at_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, delay_s))
        striker.do(one)
    broken = await striker.heal()
    await asyncio.sleep(CALM_S)
    broken += await _recovered(scene, traffic)
    for task in callers:
        task.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    broken += verdict.broken(scene, traffic.told)
    broken += verdict.stepped_back(traffic.told)
    broken += verdict.of_logs(scene.logs())
    served = sum(one.served for one in traffic.told)
    lost = sum(one.lost for one in traffic.told)
    return Result(seed, len(traffic.told), served, lost, len(strikes), broken)


async def _recovered(scene: stage.Stage, traffic: load.Load) -> list[str]:
    """Returns what each gateway still does not do once all is calm."""
    found = []
    newest = f'v{scene.version}'
    entered = {upstream.server.id for upstream in scene.upstreams}
    for gateway in scene.gateways:
        if not gateway.process.running:
            found.append(f'{gateway.name} has ended by itself')
            continue
        known = verdict.known_upstreams(gateway.process.log_text())
        if known != entered:
            found.append(
                f'{gateway.name} lacks {sorted(entered - known)} and holds on '
                f'to {sorted(known - entered)}, in calm'
            )
        for kind in ('safe', newest):
            told = await asyncio.gather(
                *(traffic.probe(kind, gateway) for _ in range(PROBES))
            )
            lost = [one.answer.status for one in told if not one.served]
            if len(lost) > MOST_LOST:
                found.append(f'{gateway.name} gives {lost} for {kind}, in calm')
    return found
