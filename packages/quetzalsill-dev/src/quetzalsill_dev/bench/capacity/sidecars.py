"""Many real sidecars inside this process, in front of one engine stand-in."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

from quetzalsill.plugin import registry as registry_lib
from quetzalsill.settings import section
from quetzalsill_dev import board, process_settings
from quetzalsill_dev.bench.capacity import fleet, size, wait
from quetzalsill_sidecar import plugin
from quetzalsill_sidecar import settings as settings_lib
from quetzalsill_sidecar import sidecar as sidecar_lib

if TYPE_CHECKING:
    import types
    from collections.abc import Collection

    from quetzalsill.config import model
    from quetzalsill.wire import link as link_lib

__all__ = ['Sidecars']

LOAD_CHANGE_INTERVAL_S = 0.1
# Large enough, out of 20,000 tokens, that each change is reported to routers.
LOAD_STEP_TOKENS = 6000


class _TargetSizeSidecar(sidecar_lib.Sidecar):
    """Uses the timing of a sidecar at the target size, whatever its links."""

    @property
    def link_count(self) -> int:
        """Number of links at the target size."""
        return size.SIDECAR_LINKS


class Sidecars:
    """Sidecars by upstream name; used as an asynchronous context manager."""

    def __init__(self, engine_url: str) -> None:
        self._engine_url = engine_url
        self._registry = registry_lib.Registry()
        plugin.register(self._registry)
        self._by_name: dict[str, sidecar_lib.Sidecar] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await asyncio.gather(*(each.stop() for each in self._sidecars()))

    async def grow(self, count: int) -> None:
        """Starts sidecars until there are `count` of them."""
        for number in range(len(self._by_name), count):
            name = f'server-{number:04d}'
            sidecar = _TargetSizeSidecar(self._settings(name), self._registry)
            await sidecar.start()
            self._by_name[name] = sidecar

    def upstreams(self) -> dict[str, model.Upstream]:
        """Returns the configuration entries of the sidecars."""
        return {
            name: fleet.upstream(
                f'127.0.0.1:{each.port}', board.ZONES[0], [board.MODEL]
            )
            for name, each in self._by_name.items()
        }

    def links(self) -> list[link_lib.Link]:
        """Returns the links of all sidecars."""
        return [link for each in self._sidecars() for link in each.links]

    async def wait_linked(self, each: int = 1) -> None:
        """Waits until every sidecar has at least `each` links."""
        await wait.until(
            lambda: all(len(one.links) >= each for one in self._sidecars())
        )

    async def wait_revision(self, revision: int) -> None:
        """Waits until a revision is active on every sidecar."""
        await wait.until(
            lambda: all(
                one.configuration.revision >= revision
                for one in self._sidecars()
            )
        )

    async def oscillate_load(self) -> None:
        """Changes the load of every sidecar periodically until cancelled."""
        is_high = False
        try:
            while True:
                is_high = not is_high
                self._set_load(LOAD_STEP_TOKENS if is_high else 0)
                await asyncio.sleep(LOAD_CHANGE_INTERVAL_S)
        finally:
            self._set_load(0)

    def _set_load(self, tokens: int) -> None:
        for each in self._sidecars():
            each.queue.foreign_tokens = tokens
            each.load.mark_changed()

    def _sidecars(self) -> Collection[sidecar_lib.Sidecar]:
        return self._by_name.values()

    def _settings(self, name: str) -> settings_lib.SidecarSettings:
        url = self._engine_url
        return settings_lib.SidecarSettings(
            node=section.Node(name, board.ZONES[0]),
            upstream=settings_lib.UpstreamTarget(name, url),
            credential=process_settings.CREDENTIAL,
            platform=section.Platform(url, url, url),
        )
