"""The sidecar: its components and background tasks."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING

from quetzalsill.config import holder
from quetzalsill.net import tls as net_tls
from quetzalsill.wire import heartbeat, listen, message
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
# Time in which a router reconnects, in addition to the timeouts of the link.
RECONNECT_MARGIN_S = 3.0


def new_incarnation() -> int:
    """Returns a number that no earlier start of this process has used."""
    started_ms = time.time_ns() // 1_000_000
    return (started_ms << INCARNATION_RANDOM_BITS) | secrets.randbits(
        INCARNATION_RANDOM_BITS
    )


class Sidecar:
    """The proxy that all requests to one upstream pass through.

    Attributes:
      incarnation: Number of this start of the process.
      configuration: The active configuration.
      attempts: All known attempts.
      queue: Waiting and running attempts.
      leaving: Whether new work is accepted.
    """

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        registry: registry_lib.Registry,
    ) -> None:
        """Creates the components; `start` opens the listener."""
        clock = asyncio.get_running_loop().time
        self.incarnation = new_incarnation()
        self.configuration = holder.Holder()
        self.attempts = table.Attempts(settings.bounds.tombstones, clock)
        self._settings = settings
        self._sessions: set[session.Session] = set()
        self._pending_echoes: list[tuple[link_lib.Link, int]] = []
        # Times at which links closed, by node name, for routers that may
        # reconnect.
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
            heartbeat_factor=lambda: heartbeat.listening_factor(
                self.link_count
            ),
        )
        self.configuration.on_change(self.intake.apply_configuration)

    @property
    def port(self) -> int:
        """Port that routers connect to."""
        return self._server.port

    @property
    def links(self) -> list[link_lib.Link]:
        """Links of the connected routers."""
        return [each.link for each in self._sessions]

    @property
    def link_count(self) -> int:
        """Number of connected routers."""
        return len(self._sessions)

    @property
    def settings(self) -> settings_lib.SidecarSettings:
        """Settings of this process."""
        return self._settings

    async def start(self) -> None:
        """Opens the listener and starts the background tasks.

        Raises:
          OSError: The address can't be bound.
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
        """Refuses new work from now on; running work is completed."""
        self.leaving.start(reason)

    async def wait_drained(self) -> bool:
        """Waits until nothing runs and routers have received all answers.

        Returns:
          False if work was left after `grace_s`.
        """
        now = asyncio.get_running_loop().time()
        deadline = now + self._settings.timing.grace_s
        if not await self._wait_until(self._is_drained, deadline):
            self._log_unfinished()
            return False
        # Routers do not acknowledge refusals. If a refusal is still in transit
        # when this side closes the link, any write of the router resets the
        # connection and may discard the refusal; the caller then gets an
        # unknown outcome. An echo proves that the router has received all
        # messages. Echoes are requested again if a router has reconnected or
        # further messages were sent in the meantime.
        sent = None
        while sent != self._sent_counts():
            sent = self._sent_counts()
            self._request_echoes()
            if not await self._wait_until(self._is_drained, deadline):
                return False
        return True

    async def stop(self) -> None:
        """Closes the listener and cancels all tasks immediately."""
        await self._server.stop()
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        await self.runner.stop()

    def broadcast(self, msg: message.Message) -> None:
        """Sends a message to every connected router."""
        for each in self._sessions:
            each.put(msg)

    def _sent_counts(self) -> tuple[int, int]:
        """Returns the numbers of accepted links and sent terminal messages."""
        return self._links_accepted, sum(
            each.terminal_count for each in self._sessions
        )

    def _request_echoes(self) -> None:
        """Asks each router for an echo of all messages sent so far."""
        self._pending_echoes = [(link, link.ping()) for link in self.links]

    def _is_drained(self) -> bool:
        """Whether routers know of the shutdown and have all their answers.

        A Dispatch in transit when this process exits would leave its caller
        with an unknown outcome. Routers send none after they have received
        GoAway, and their echo proves that everything sent before was read.
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
        """Whether an attempt has ended and no router will resume it."""
        if attempt.terminal is None or attempt.link is not None:
            return False
        return self._has_reconnect_expired(attempt.detached)

    def _has_reconnect_expired(self, lost_at: float) -> bool:
        """Whether a router has had time to reconnect since its link closed.

        A router that was paused, or whose link went silent, detects that after
        `silence_s` and reconnects. If the sidecar has exited by then, the
        caller loses its answer.

        Args:
          lost_at: When the link closed, in event loop time (seconds).
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
        """Schedules a run of the queue for the next event loop iteration."""
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
