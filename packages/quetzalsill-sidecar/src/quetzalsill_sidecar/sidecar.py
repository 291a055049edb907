"""The sidecar: its parts and its background work."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING

from quetzalsill.config import holder
from quetzalsill.net import tls as net_tls
from quetzalsill.wire import listen, message, pace
from quetzalsill_sidecar import (
    config_fetcher,
    event,
    intake,
    leaving_state,
    load,
    runner,
    session,
    sweep,
)
from quetzalsill_sidecar.attempt import table
from quetzalsill_sidecar.queue import schedule

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from quetzalsill.plugin import registry as registry_lib
    from quetzalsill.wire import link as link_lib
    from quetzalsill_sidecar import settings as settings_lib
    from quetzalsill_sidecar.attempt import state

__all__ = ['Sidecar', 'new_incarnation']

INCARNATION_RANDOM_BITS = 16
DRAIN_POLL_S = 0.05
# Time beyond the bounds of a link in which a router dials it anew.
RECONNECT_MARGIN_S = 3.0


def new_incarnation() -> int:
    """Returns a number that no earlier start of this process had."""
    started_ms = time.time_ns() // 1_000_000
    return (started_ms << INCARNATION_RANDOM_BITS) | secrets.randbits(
        INCARNATION_RANDOM_BITS
    )


class Sidecar:
    """The only path to one upstream.

    Attributes:
      incarnation: Number of this start of the process.
      configuration: Configuration in force here.
      attempts: All attempts known.
      queue: What waits and what runs.
      leaving: Whether new work is taken.
    """

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        registry: registry_lib.Registry,
    ) -> None:
        """Builds the parts; `start` opens the listener."""
        clock = asyncio.get_running_loop().time
        self.incarnation = new_incarnation()
        self.configuration = holder.Holder()
        self.attempts = table.Attempts(settings.bounds.tombstones, clock)
        self._settings = settings
        self._sessions: set[session.Session] = set()
        self._pending_echoes: list[tuple[link_lib.Link, int]] = []
        # When the link of a router ended that may dial again, by its node.
        self._lost_links: dict[str, float] = {}
        self._links_accepted = 0
        policies = self.configuration.current.policies
        self.queue = schedule.Schedule(
            registry.get('fairness', policies.fairness)(),
            registry.get('admission', policies.admission),
            settings.bounds.running,
            clock,
        )
        self.leaving = leaving_state.LeavingState(
            settings.upstream.name, self.configuration, self._announce_leaving
        )
        self.runner = runner.Runner(
            settings, self.attempts, self.queue, self._schedule_pump
        )
        self.intake = intake.Intake(
            settings,
            self.incarnation,
            self.configuration,
            self.attempts,
            self.queue,
            self.runner,
            self.leaving,
            registry,
            self._schedule_pump,
        )
        self.load = load.LoadReporter(self)
        self._config_fetcher = config_fetcher.ConfigFetcher(self.configuration)
        self._pump_due = False
        self._background: set[asyncio.Task[None]] = set()
        self._server = listen.LinkServer(
            settings.listen,
            settings.credential,
            self._make_welcome,
            self._on_link,
            settings.link,
            net_tls.server_context(settings.tls),
            revision=lambda: self.configuration.revision,
            stretch=lambda: pace.listened(self.link_count),
        )
        self.configuration.on_change(self.intake.apply_configuration)

    @property
    def port(self) -> int:
        """Port that routers dial."""
        return self._server.port

    @property
    def links(self) -> list[link_lib.Link]:
        """Links of the routers that are linked now."""
        return [each.link for each in self._sessions]

    @property
    def link_count(self) -> int:
        """Routers that are linked now."""
        return len(self._sessions)

    @property
    def settings(self) -> settings_lib.SidecarSettings:
        """Settings of this process."""
        return self._settings

    async def start(self) -> None:
        """Opens the listener and starts the background work.

        Raises:
          OSError: The address can't be listened at.
        """
        await self._server.start()
        self._spawn(sweep.run(self))
        self._spawn(self.load.run())
        if self._settings.upstream.kind == 'model':
            self._spawn(self.load.poll())
        event.note(
            event.SidecarReady(
                port=self.port,
                incarnation=self.incarnation,
                upstream=self._settings.upstream.name,
            )
        )

    def leave(self, reason: str) -> None:
        """Takes nothing new from now on; running work goes to its end."""
        self.leaving.start(reason)

    async def wait_drained(self) -> bool:
        """Waits until nothing runs and routers have taken all answers.

        Returns:
          False if something was left after `grace_s`.
        """
        now = asyncio.get_running_loop().time()
        deadline = now + self._settings.timing.grace_s
        if not await self._wait_until(self._is_drained, deadline):
            self._log_unfinished()
            return False
        # Routers acknowledge no refusal. Should one still be on its way when
        # this end closes, whatever the router writes meanwhile has the link
        # reset, which may take the refusal with it: its caller is told that
        # the outcome is unknown. An echo says that the router has all of them.
        # Whoever has dialed again, or was told more, meanwhile is asked again.
        sent = None
        while sent != self._sent_counts():
            sent = self._sent_counts()
            self._request_echoes()
            if not await self._wait_until(self._is_drained, deadline):
                return False
        return True

    async def stop(self) -> None:
        """Closes everything at once."""
        await self._server.stop()
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        await self.runner.stop()

    def broadcast(self, msg: message.Message) -> None:
        """Sends to every router."""
        for each in self._sessions:
            each.put(msg)

    def _sent_counts(self) -> tuple[int, int]:
        """Returns how many links were taken and terminal messages sent."""
        return self._links_accepted, sum(
            each.terminal_count for each in self._sessions
        )

    def _request_echoes(self) -> None:
        """Has each router echo once it has taken all that was sent so far."""
        self._pending_echoes = [(link, link.ping()) for link in self.links]

    def _is_drained(self) -> bool:
        """Whether routers know of the leaving and have all their answers.

        A Dispatch that was under way when this process ended would leave its
        caller with an unknown outcome. Routers send none once they have taken
        GoAway, and by their echo all that they sent before has been read.
        """
        links = self.links
        all_echoed = all(
            link.echoed >= echo
            for link, echo in self._pending_echoes
            if link in links
        )
        # A Dispatch or a refusal may have been lost with a link.
        return (
            all_echoed
            and all(map(self._has_reconnect_expired, self._lost_links.values()))
            and all(map(self._is_done, self.attempts))
        )

    def _is_done(self, attempt: state.Attempt) -> bool:
        """Whether an attempt has ended and nobody comes back for it."""
        if attempt.terminal is None or attempt.link is not None:
            return False
        return self._has_reconnect_expired(attempt.detached)

    def _has_reconnect_expired(self, lost_at: float) -> bool:
        """Whether a router has had time to come back since a link ended.

        One that was paused, or whose link fell silent, finds that after
        `silence_s` and dials anew; its caller would lose the answer.

        Args:
          lost_at: When the link ended, in seconds of the event loop.
        """
        timing = self._settings.link
        elapsed_s = asyncio.get_running_loop().time() - lost_at
        return (
            elapsed_s
            >= timing.silence_s + timing.connect_s + RECONNECT_MARGIN_S
        )

    async def _wait_until(
        self, condition: Callable[[], bool], deadline: float
    ) -> bool:
        loop = asyncio.get_running_loop()
        while not condition():
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(DRAIN_POLL_S)
        return True

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(_log_crash)

    def _make_welcome(self, hello: message.Hello) -> message.Welcome:
        del hello
        return message.Welcome(
            version=message.VERSION,
            node=self._settings.node.name,
            incarnation=self.incarnation,
            upstream=self._settings.upstream.name,
            availability_zone=self._settings.node.availability_zone,
            revision=self.configuration.revision,
            leaving=bool(self.leaving.refusal_reason()),
        )

    async def _on_link(self, link: link_lib.Link) -> None:
        router_session = session.Session(
            link,
            self.intake,
            self.attempts,
            self.configuration,
            self._config_fetcher,
        )
        node = link.peer.node
        self._sessions.add(router_session)
        self._links_accepted += 1
        self._lost_links.pop(node, None)
        event.note(event.RouterLinked(router=node))
        try:
            router_session.put(self.load.build_message())
            if self.leaving.reason:
                router_session.put(self._leaving_message(self.leaving.reason))
                router_session.put(message.GoAway(self.leaving.reason))
            await router_session.serve()
        finally:
            self._sessions.discard(router_session)
            nodes = [other.link.peer.node for other in self._sessions]
            if not router_session.is_going_away and node not in nodes:
                self._lost_links[node] = asyncio.get_running_loop().time()
            event.note(event.RouterUnlinked(router=node))

    def _announce_leaving(self, reason: str) -> None:
        self.broadcast(self._leaving_message(reason))
        self.broadcast(message.GoAway(reason))
        self._request_echoes()
        self.intake.refuse_unstarted()
        self._schedule_pump()

    def _leaving_message(self, reason: str) -> message.Leaving:
        return message.Leaving(self._settings.upstream.name, reason)

    def _schedule_pump(self) -> None:
        """Lets the queue move once this loop tick is over."""
        self.load.mark_changed()
        if not self._pump_due:
            self._pump_due = True
            asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        self._pump_due = False
        self.intake.pump()

    def _log_unfinished(self) -> None:
        for attempt in self.attempts:
            event.note(
                event.AttemptUnfinished(
                    attempt=attempt.id,
                    request=attempt.dispatch.request,
                    items=attempt.tail.end,
                )
            )


def _log_crash(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        event.note(event.BackgroundTaskFailed(), exc=task.exception())
