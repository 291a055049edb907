"""Time to recover, seen by probes through routers that were not struck."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

import httpx2

from quetzalsill_dev import board, caller

if TYPE_CHECKING:
    from quetzalsill_dev.bench.faults import field as field_lib

__all__ = ['Probe', 'Prober', 'recover_s']

INTERVAL_S = 0.1
# An answer that took longer counts as a sign of the failure.
LATE_S = 0.75
# What a strike later than this after the start of a probe did not cause.
USUAL_S = 0.1
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
      profile: `prompt` (whole answer) or `patient` (acceptance).
      began: Monotonic time when it was sent.
      ended: Monotonic time when it ended.
      ok: It was answered or accepted, and in time.
    """

    profile: str
    began: float
    ended: float
    ok: bool


class Prober:
    """Probes every router, each profile on its own, until cancelled."""

    def __init__(self, field: field_lib.Field) -> None:
        self.probes: list[Probe] = []
        self._field = field

    async def run(self) -> None:
        """Probes until cancelled."""
        async with asyncio.TaskGroup() as group:
            for name in self._field.cluster.routers:
                for profile in HEADERS:
                    group.create_task(self._probe_router(name, profile))

    async def _probe_router(self, name: str, profile: str) -> None:
        url = self._field.cluster.routers[name].url
        async with caller.open_client(url, board.TOKENS['retailers']) as client:
            while True:
                began = time.monotonic()
                struck = name in self._field.struck
                ok = await _ask(client, profile)
                ended = time.monotonic()
                ok &= ended - began <= LATE_S
                if not (struck or name in self._field.struck):
                    self.probes.append(Probe(profile, began, ended, ok))
                await asyncio.sleep(INTERVAL_S)


def recover_s(
    probes: list[Probe], profile: str, struck: float, until: float
) -> float:
    """Time from a strike to the end of its last bad probe; 0 if none was.

    Args:
      probes: All probes.
      profile: Which of them.
      struck: Monotonic time of the strike.
      until: Monotonic time of the next one; later probes don't count.
    """
    bad = (
        probe.ended - struck
        for probe in probes
        if probe.profile == profile
        and not probe.ok
        and struck <= probe.began + USUAL_S < until
    )
    return max(bad, default=0.0)


async def _ask(client: httpx2.AsyncClient, profile: str) -> bool:
    try:
        response = await client.post(
            '/v1/completions', json=BODY, headers=HEADERS[profile]
        )
    except httpx2.TransportError:
        return False
    return response.is_success
