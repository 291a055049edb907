"""A sidecar and the link to it."""

from __future__ import annotations

import asyncio
import collections
import contextlib
from typing import TYPE_CHECKING

from quetzalsill.config import fetch_handler
from quetzalsill.error import request as request_error
from quetzalsill.telemetry import metric
from quetzalsill.wire import error as wire_error
from quetzalsill.wire import message
from quetzalsill_router import event
from quetzalsill_router.peer import attempt as peer_attempt
from quetzalsill_router.peer import (
    backoff,
    config_fetch,
    dialer,
    listing,
    sidecar_status,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quetzalsill.config import holder as config_holder
    from quetzalsill.config import model
    from quetzalsill.wire import link

__all__ = ['Peer']


dropped_total = metric.counter(
    'quetzalsill_router_dropped_messages_total',
    'Answers of unknown or superseded attempts, and repetitions.',
)
links_ended_total = metric.counter(
    'quetzalsill_router_links_ended_total', 'Links that ended, by cause.'
)

LEAVING = request_error.UpstreamLeavingError.code
MAX_DEFERRED_MESSAGES = 10_000
# Time for which a lost link is expected to be re-established: one slow dial and
# a second one. A caller that is refused retries later than that.
RECONNECT_GRACE_S = 3.0
# A link that lasted this long was established properly, so the backoff is reset
# and the next dial follows soon: callers are waiting for their answers.
STABLE_LINK_S = 1.0


class Peer:
    """Maintains the link to one sidecar and the attempts open on it.

    Attributes:
      upstream: Name of the upstream.
      availability_zone: Its availability zone.
      address: IP:PORT of the sidecar in the configuration.
      status: Status reported by this incarnation of the sidecar.
      revision: Highest revision that this incarnation has reported.
      dropped: Number of messages dropped because their attempt was unknown
        or superseded, or because they were duplicates.
    """

    def __init__(
        self,
        upstream: str,
        spec: model.Upstream,
        connect: Callable[[str, int, Peer], Awaitable[link.Link]],
        holder: config_holder.Holder,
        recover_s: float,
        on_revision: Callable[[int, Peer], None],
    ) -> None:
        """Initializes a peer; `run` links it.

        Args:
          upstream: Name of the upstream.
          spec: Its entry in the configuration.
          connect: Dials host and port for this peer.
          holder: Holder of the current configuration.
          recover_s: See `Attempt`.
          on_revision: Called with a revision newer than the current one.
        """
        self.upstream = upstream
        self.availability_zone = spec.availability_zone
        self.address = spec.sidecar
        self.status = sidecar_status.SidecarStatus()
        self.revision = 0
        self.dropped = 0
        self._spec = spec
        self._host_entry = listing.HostListEntry()
        self._dialer = dialer.Dialer(
            upstream,
            spec.sidecar,
            self._host_entry,
            lambda host, port: connect(host, port, self),
        )
        self._holder = holder
        self._recover_s = recover_s
        self._on_revision = on_revision
        self._link: link.Link | None = None
        self._attempts: dict[str, peer_attempt.Attempt] = {}
        # The oldest messages may be dropped: sidecars expire buffered answers
        # that are not acknowledged.
        self._deferred: collections.deque[message.Message] = collections.deque(
            maxlen=MAX_DEFERRED_MESSAGES
        )
        self._config_fetcher = config_fetch.ConfigFetcher(self.send)
        self._retired = False
        # Time at which the link ended; None if it never did, or if a dial was
        # refused since.
        self._disconnected_at: float | None = None
        self._wake = asyncio.Event()

    @property
    def incarnation(self) -> int:
        """Incarnation of the sidecar; 0 before the first link."""
        return self.status.incarnation

    @property
    def engine(self) -> int:
        """Incarnation of the engine; 0 if unknown."""
        return self.status.engine

    @property
    def load(self) -> message.Load | None:
        """Latest Load of this incarnation; None before the first."""
        return self.status.load

    @property
    def linked(self) -> bool:
        """Whether the link is up."""
        return self._link is not None and not self._link.closed

    @property
    def leaving(self) -> bool:
        """Whether the upstream accepts no new work.

        A host may leave without its sidecar reporting it; then only the host
        list has the state.
        """
        if self._retired or self._spec.draining or self.status.going_away:
            return True
        return self.status.leaving or self._host_entry.leaving

    @property
    def outstanding(self) -> int:
        """Number of attempts open at this sidecar."""
        return len(self._attempts)

    @property
    def retired(self) -> bool:
        """Whether the peer closes after its last attempt."""
        return self._retired

    def serves(self, name: str) -> bool:
        """Whether new work for the model or service may be sent now."""
        return self.linked and self._accepts_work_for(name)

    def is_reconnecting(self, name: str) -> bool:
        """Whether the link was lost recently and is expected to return.

        False if a dial was refused since, which means that the sidecar is
        down.
        """
        if (
            self.linked
            or self._disconnected_at is None
            or not self._accepts_work_for(name)
        ):
            return False
        return (
            asyncio.get_running_loop().time() - self._disconnected_at
            < RECONNECT_GRACE_S
        )

    def _accepts_work_for(self, name: str) -> bool:
        """Whether the upstream accepts work for a model or service."""
        if self.leaving:
            return False
        if name in self._spec.services:
            return self.status.healthy
        return name in self._spec.models and self.status.has_loaded(name)

    def open(self, dispatch: message.Dispatch) -> peer_attempt.Attempt:
        """Sends a Dispatch and returns the attempt.

        If it can't be written to a link, the attempt ends with Refused at
        once: it has not run and never will.
        """
        attempt = peer_attempt.Attempt(dispatch, self, self._recover_s)
        self._attempts[attempt.id] = attempt
        if self.status.going_away and not dispatch.recover:
            # Selected before the GoAway arrived. The sidecar may exit as soon
            # as this router's echo confirms the GoAway.
            attempt.refuse(LEAVING, 'going away')
            return attempt
        try:
            written = self.send(dispatch)
        except wire_error.OversizeFrameError as exc:
            attempt.refuse(request_error.TooLargeError.code, exc.detail)
        except wire_error.MalformedFrameError as exc:
            attempt.refuse(request_error.BadRequestError.code, exc.detail)
        else:
            if not written:
                attempt.refuse(
                    request_error.NoUpstreamError.code,
                    f'no link to {self.upstream}',
                )
            else:
                self._link.probe()
        return attempt

    async def fetch_config(self, revision: int) -> message.ConfigReply:
        """Returns the sidecar's configuration if newer than `revision`.

        Raises:
          error.ConfigFetchError: There is no link, or no newer configuration
            was received in time.
        """
        return await self._config_fetcher.fetch(revision)

    def update(self, spec: model.Upstream, state: str, address: str) -> None:
        """Updates the peer from the configuration and the host list."""
        if self._host_entry.update(state, address):
            self._wake.set()
        self._spec = spec
        self.availability_zone = spec.availability_zone

    def retire(self) -> None:
        """Stops accepting work; the link closes after the last attempt."""
        self._retired = True
        self._close_if_done()

    def reinstate(self) -> None:
        """Undoes `retire`."""
        self._retired = False

    async def run(self) -> None:
        """Links and relinks until retired and without attempts."""
        delays = backoff.delays()
        clock = asyncio.get_running_loop().time
        try:
            while not self._done:
                began = clock()
                conn = await self._dialer.dial()
                if conn is not None:
                    await self._run_link(conn)
                elif not self._dialer.handshake_timed_out:
                    self._disconnected_at = None
                if clock() - began > STABLE_LINK_S:
                    delays = backoff.delays()
                if not self._done:
                    await self._pause(next(delays))
        finally:
            for attempt in list(self._attempts.values()):
                attempt.expire()

    def send(self, msg: message.Message) -> bool:
        """Sends a message; returns False if there is no link.

        Raises:
          wire_error.MalformedFrameError: A field cannot be encoded.
          wire_error.OversizeFrameError: The message is too long.
        """
        if self._link is None:
            return False
        try:
            self._link.send_nowait(msg)
        except wire_error.LinkClosedError:
            return False
        return True

    def send_or_defer(self, msg: message.Message) -> None:
        """Sends a message now, or on the next link to this incarnation."""
        if not self.send(msg):
            self._deferred.append(msg)

    def send_go_away(self, reason: str) -> None:
        """Tells the sidecar that this router won't reconnect."""
        self.send(message.GoAway(reason))

    async def send_body(self, msg: message.Body) -> None:
        """Sends a message and waits while the link is congested.

        Raises:
          wire_error.LinkClosedError: There is no link.
        """
        if self._link is None:
            raise wire_error.LinkClosedError(f'no link to {self.upstream}')
        await self._link.send(msg)

    def remove_attempt(self, attempt: peer_attempt.Attempt) -> None:
        """Removes an attempt from the peer."""
        self._attempts.pop(attempt.id, None)
        self._close_if_done()

    @property
    def _done(self) -> bool:
        return self._retired and not self._attempts

    def _close_if_done(self) -> None:
        if self._done:
            self._wake.set()
            self.send_go_away('no work left here')
            if self._link is not None:
                self._link.close()

    async def _pause(self, delay_s: float) -> None:
        self._wake.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._wake.wait()

    async def _run_link(self, conn: link.Link) -> None:
        self._link = conn
        try:
            self._adopt(conn.peer)
            async for msg in conn.messages():
                self._handle(msg)
        except wire_error.WireError as exc:
            conn.reject(exc)
            links_ended_total.inc({'code': exc.code})
            event.note(
                event.LinkEnded(
                    upstream=self.upstream,
                    code=exc.code,
                    detail=exc.detail,
                    outstanding=self.outstanding,
                )
            )
        finally:
            self._link = None
            self._disconnected_at = asyncio.get_running_loop().time()
            conn.close()
            for attempt in self._attempts.values():
                attempt.on_link_lost()
            self._config_fetcher.fail()

    def _adopt(self, welcome: message.Welcome) -> None:
        """Resumes attempts on the same sidecar, recovers them on a new one."""
        same = welcome.incarnation == self.incarnation
        if not same:
            # The status of the old incarnation does not apply to the new one.
            self.status = sidecar_status.SidecarStatus(welcome.incarnation)
            self.revision = 0
            self._deferred.clear()
            self._host_entry.mark_outdated()
        self.status.leaving |= welcome.leaving
        event.note(
            event.Linked(
                upstream=self.upstream,
                incarnation=welcome.incarnation,
                same=same,
                outstanding=self.outstanding,
            )
        )
        while self._deferred:
            self.send(self._deferred.popleft())
        for attempt in list(self._attempts.values()):
            attempt.on_link_up(same=same)
        self.record_revision(welcome.revision)

    def _handle(self, msg: message.Message) -> None:
        cls = type(msg)
        if cls in peer_attempt.HANDLERS:
            self._handle_answer(msg)
        elif cls is message.Load:
            self.status.update_load(msg)
            self.record_revision(msg.revision)
        elif cls is message.Leaving:
            self.status.leaving = True
            event.note(event.Leaving(upstream=self.upstream, reason=msg.reason))
        elif cls is message.GoAway:
            self.status.going_away = True
            event.note(
                event.GoingAway(upstream=self.upstream, reason=msg.reason)
            )
        elif cls is message.ConfigFetch:
            self._send_config(msg)
        elif cls is message.ConfigReply:
            self._config_fetcher.resolve(msg)
        else:
            raise wire_error.ProtocolError(f'{cls.__name__} from a sidecar')

    def _handle_answer(self, msg: message.Message) -> None:
        attempt = self._attempts.get(msg.attempt)
        if attempt is not None and attempt.handle(msg):
            return
        self.dropped += 1
        dropped_total.inc({'upstream': self.upstream})
        # A sidecar keeps the end of an answer until it is acknowledged.
        if attempt is None and type(msg) in (message.Finished, message.Failed):
            self.send(message.Ack(msg.attempt))

    def record_revision(self, revision: int) -> None:
        """Records a revision that the sidecar has reported."""
        self.revision = max(self.revision, revision)
        if revision > self._holder.revision:
            self._on_revision(revision, self)

    def _send_config(self, msg: message.ConfigFetch) -> None:
        reply = fetch_handler.build_reply(self._holder, msg)
        if reply is not None:
            self.send(reply)
