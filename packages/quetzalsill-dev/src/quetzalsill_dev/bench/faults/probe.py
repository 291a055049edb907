"""Recovery time as seen by probes through routers that are not faulty."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

import httpx2

from quetzalsill_dev import board, caller

if TYPE_CHECKING:
    from quetzalsill_dev.bench.faults import testbed as testbed_lib

__all__ = ['Probe', 'Prober', 'recovery_time_s']

INTERVAL_S = 0.1
# A slower answer counts as failed.
MAX_LATENCY_S = 0.75
# A probe that began up to this long before an injection may be affected by it.
START_TOLERANCE_S = 0.1
BODY = {'model': board.MODEL, 'prompt': 'probe [[tokens=2]]'}
HEADERS = {
    'prompt': {'x-quetzalsill-profile': 'prompt'},
    'patient': {
        'x-quetzalsill-profile': 'patient',
        'prefer': 'respond-async',
    },
}


@dataclasses.dataclass(slots=True, frozen=True)
class Probe:
    """One probe.

    Attributes:
      profile: `prompt` (complete answer) or `patient` (acceptance).
      began: Monotonic time when it was sent.
      ended: Monotonic time when it ended.
      ok: Whether it was answered or accepted in time.
    """

    profile: str
    began: float
    ended: float
    ok: bool


class Prober:
    """Probes every router, separately for each profile, until cancelled."""

    def __init__(self, testbed: testbed_lib.Testbed) -> None:
        self.probes: list[Probe] = []
        self._testbed = testbed

    async def run(self) -> None:
        """Probes until cancelled."""
        async with asyncio.TaskGroup() as group:
            for name in self._testbed.cluster.routers:
                for profile in HEADERS:
                    group.create_task(self._probe_router(name, profile))

    async def _probe_router(self, name: str, profile: str) -> None:
        url = self._testbed.cluster.routers[name].url
        async with caller.open_client(url, board.TOKENS['retailers']) as client:
            while True:
                began = time.monotonic()
                was_faulty = name in self._testbed.faulty_routers
                ok = await _send_probe(client, profile)
                ended = time.monotonic()
                ok &= ended - began <= MAX_LATENCY_S
                if not (was_faulty or name in self._testbed.faulty_routers):
                    self.probes.append(Probe(profile, began, ended, ok))
                await asyncio.sleep(INTERVAL_S)


def recovery_time_s(
    probes: list[Probe], profile: str, injected: float, until: float
) -> float:
    """Returns the time from an injection to the end of its last failed probe.

    Returns 0 if no probe failed.

    Args:
      probes: All probes.
      profile: Profile of the probes to consider.
      injected: Monotonic time of the injection.
      until: Monotonic time of the next injection; later probes are ignored.
    """
    failed = (
        probe.ended - injected
        for probe in probes
        if probe.profile == profile
        and not probe.ok
        and injected <= probe.began + START_TOLERANCE_S < until
    )
    return max(failed, default=0.0)


async def _send_probe(client: httpx2.AsyncClient, profile: str) -> bool:
    try:
        response = await client.post(
            '/v1/completions', json=BODY, headers=HEADERS[profile]
        )
    except httpx2.TransportError:
        return False
    return response.is_success
