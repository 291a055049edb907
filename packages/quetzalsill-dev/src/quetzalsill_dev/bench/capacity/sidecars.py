"""Many real sidecars inside this process, before one engine stand-in."""

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

TURN_S = 0.1
# So many tokens of 20,000 that a router must hear of each change.
SWING_TOKENS = 6000


class _OneOfMany(sidecar_lib.Sidecar):
    """Keeps the pace of a sidecar at the target, whatever its links."""

    @property
    def link_count(self) -> int:
        """As many links as at the target."""
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
        await asyncio.gather(*(each.stop() for each in self._made()))

    async def grow(self, count: int) -> None:
        """Starts sidecars until there are so many."""
        for number in range(len(self._by_name), count):
            name = f'server-{number:04d}'
            made = _OneOfMany(self._settings(name), self._registry)
            await made.start()
            self._by_name[name] = made

    def upstreams(self) -> dict[str, model.Upstream]:
        """What the configuration says of them."""
        return {
            name: fleet.upstream(
                f'127.0.0.1:{each.port}', board.ZONES[0], [board.MODEL]
            )
            for name, each in self._by_name.items()
        }

    def links(self) -> list[link_lib.Link]:
        """Links of all sidecars."""
        return [link for each in self._made() for link in each.links]

    async def wait_linked(self, each: int = 1) -> None:
        """Waits until every sidecar has so many links."""
        await wait.until(
            lambda: all(len(one.links) >= each for one in self._made())
        )

    async def wait_revision(self, revision: int) -> None:
        """Waits until a revision is in force at every sidecar."""
        await wait.until(
            lambda: all(
                one.configuration.revision >= revision for one in self._made()
            )
        )

    async def swing(self) -> None:
        """Changes the load of every sidecar again and again."""
        up = False
        try:
            while True:
                up = not up
                self._set_load(SWING_TOKENS if up else 0)
                await asyncio.sleep(TURN_S)
        finally:
            self._set_load(0)

    def _set_load(self, tokens: int) -> None:
        for each in self._made():
            each.queue.foreign_tokens = tokens
            each.load.mark_changed()

    def _made(self) -> Collection[sidecar_lib.Sidecar]:
        return self._by_name.values()

    def _settings(self, name: str) -> settings_lib.SidecarSettings:
        url = self._engine_url
        return settings_lib.SidecarSettings(
            node=section.Node(name, board.ZONES[0]),
            upstream=settings_lib.UpstreamTarget(name, url),
            credential=process_settings.CREDENTIAL,
            platform=section.Platform(url, url, url),
        )
