"""Runs a soak: starts processes and load, injects faults, checks invariants."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from quetzalsill_dev import launch
from quetzalsill_dev.soak import checks, load, log_checks, plan
from quetzalsill_dev.soak import injector as injector_lib
from quetzalsill_dev.soak import testbed as testbed_lib

if TYPE_CHECKING:
    import pathlib

__all__ = ['Result', 'run']

CALLERS = 8
# Of each gateway.
KEPT_CONNECTIONS = 2
# Everything has recovered this long after the last fault: the adapter waits
# 2.2 s for lapsed entries, and its retries are up to 2 s apart.
RECOVERY_S = 6.0
PROBES_PER_KIND = 10
MAX_LOST_PROBES = 1
DEPARTED_GATEWAYS = 10


@dataclasses.dataclass(slots=True)
class Result:
    """Outcome of a soak run.

    Attributes:
      seed: Seed of the run.
      sent: Number of requests sent.
      served: Number of complete and successful responses.
      lost: Number of requests that should have been served but were not.
      injections: Number of faults injected.
      violations: A line for each violated invariant.
      streams: Number of streams whose callers take them up.
      taken_up: Number of times that they did.
      mixed: Number of these streams with events of several versions.
      went_on: Share of those taken up that went on, while two engines of their
        version served.
      began: Share of new streams that began.
      refusals: What became of the streams that did not go on.
      ended_by_parts: Number of engines that each part of a prompt has crashed.
    """

    seed: int
    sent: int
    served: int
    lost: int
    injections: int
    violations: list[str]
    streams: int = 0
    taken_up: int = 0
    mixed: int = 0
    went_on: float = 1.0
    began: float = 1.0
    refusals: dict[str, int] = dataclasses.field(default_factory=dict)
    ended_by_parts: list[int] = dataclasses.field(default_factory=list)

    @property
    def lost_share(self) -> float:
        """Share of all requests that was lost."""
        return self.lost / max(1, self.sent)


async def run(
    seed: int,
    length_s: float,
    gateways: int = 3,
    folder: pathlib.Path | None = None,
    *,
    rolls_back: bool = True,
    only_drills: bool = False,
    fleet_kills: bool = False,
) -> Result:
    """Runs one seed.

    Args:
      seed: Seed of the fault schedule and of the load.
      length_s: How long faults are injected, in seconds.
      gateways: Number of gateway processes under test.
      folder: Folder for settings and logs; a temporary one if None.
      rolls_back: Whether the store loses its newest writes in a drill; if not,
        a drill is an outage of the same length.
      only_drills: Whether to inject only restore drills and the faults that
        overlap them.
      fleet_kills: Whether to inject kills of all gateways, replacements of all
        engines and restore drills instead, among gateways of which some were
        replaced before.
    """
    if fleet_kills:
        injections = plan.generate_fleet_kills(seed, length_s)
    elif only_drills:
        injections = plan.generate_drills(seed, length_s)
    else:
        injections = plan.generate(seed, length_s)
    async with launch.Launcher(folder) as launcher:
        testbed = testbed_lib.Testbed(launcher, gateways)
        if fleet_kills:
            testbed.prepare_fleet_kills(DEPARTED_GATEWAYS)
        try:
            await testbed.start(http_servers=3, engines=4)
            injector = injector_lib.FaultInjector(
                testbed, rolls_back=rolls_back
            )
            return await _execute(testbed, seed, injections, injector)
        finally:
            await testbed.stop()


async def _execute(
    testbed: testbed_lib.Testbed,
    seed: int,
    injections: list[plan.Injection],
    injector: injector_lib.FaultInjector,
) -> Result:
    traffic = load.LoadGenerator(testbed, seed)
    callers = [asyncio.create_task(traffic.run()) for _ in range(CALLERS)]
    callers += [
        asyncio.create_task(traffic.stream())
        for _ in range(testbed.stream_callers)
    ]
    callers += [
        asyncio.create_task(traffic.keep_connection(gateway))
        for gateway in testbed.gateways
        for _ in range(KEPT_CONNECTIONS)
    ]
    await asyncio.sleep(1.0)
    start_s = asyncio.get_running_loop().time()
    for injection in injections:
        delay_s = start_s + injection.at_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, delay_s))
        injector.inject(injection)
    violations = await injector.wait()
    await asyncio.sleep(RECOVERY_S)
    violations += await _check_recovery(testbed, traffic)
    for task in callers:
        task.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    violations += checks.find_violations(testbed, traffic.records)
    by_part = testbed.fleet.part_crash_times_s
    violations += checks.find_crashing_sends(
        testbed,
        injector.crashing_sends,
        sorted(set(testbed.fleet.crash_times_s).difference(*by_part.values())),
    )
    violations += checks.find_crashing_part_sends(
        testbed, injector.crashing_part_sends
    )
    violations += checks.find_refused_streams(traffic.streams)
    violations += checks.find_excess_calls(
        testbed, injector.limited, traffic.records
    )
    violations += checks.find_sends_to_leaving(testbed, traffic.records)
    violations += checks.find_sends_in_pauses(
        testbed, traffic.records, injector.disrupted
    )
    violations += checks.find_config_rollbacks(traffic.records)
    violations += checks.find_mixed_streams(traffic.streams)
    violations += checks.find_lost_resumptions(traffic.streams)
    violations += log_checks.find_runs_cut_by_exit(
        testbed.logs(), injector.disrupted
    )
    violations += log_checks.find_unexpected_log_lines(testbed.logs())
    served = sum(record.served for record in traffic.records)
    lost = sum(record.lost for record in traffic.records)
    shares = checks.resumption_shares(traffic.streams)
    return Result(
        seed,
        len(traffic.records),
        served,
        lost,
        len(injections),
        violations,
        len(traffic.streams),
        shares.taken_up,
        sum(len(one.versions) > 1 for one in traffic.streams),
        shares.went_on,
        shares.began,
        dict(shares.refusals),
        list(map(len, by_part.values())),
    )


async def _check_recovery(
    testbed: testbed_lib.Testbed, traffic: load.LoadGenerator
) -> list[str]:
    """Returns a line for each failure of a gateway to recover."""
    failures = []
    newest = f'v{testbed.config_version}'
    registered = {upstream.server.id for upstream in testbed.upstreams}
    for gateway in testbed.gateways:
        if not gateway.process.running:
            failures.append(f'{gateway.name} exited unexpectedly')
            continue
        known = log_checks.upstreams_in_log(gateway.process.log_text())
        if known != registered:
            failures.append(
                f'{gateway.name} lacks {sorted(registered - known)} and still '
                f'lists {sorted(known - registered)} after recovery'
            )
        for kind in ('safe', newest):
            records = await asyncio.gather(
                *(traffic.probe(kind, gateway) for _ in range(PROBES_PER_KIND))
            )
            lost = [
                record.answer.status for record in records if not record.served
            ]
            if len(lost) > MAX_LOST_PROBES:
                failures.append(
                    f'{gateway.name} answers {lost} to {kind} after recovery'
                )
    return failures
