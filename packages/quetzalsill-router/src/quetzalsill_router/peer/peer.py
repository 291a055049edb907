"""One sidecar, and the link to it."""

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
from quetzalsill_router.peer import backoff, dialer, fetch, listing, status

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
MAX_DEFERRED = 10_000
# For so long a link that has ended is hoped for: a dial that is slow, and one
# more. A caller that is refused comes back later than that.
RETURN_S = 3.0
# A link that lasted this long was no fault of the dial, so that the next one
# follows at once: callers wait with nothing arriving meanwhile.
STABLE_S = 1.0


class Peer:
    """Keeps a link to one sidecar and the attempts open there.

    Attributes:
      upstream: Name of the upstream.
      availability_zone: Its availability zone.
      address: IP:PORT of the sidecar after the configuration.
      status: What this incarnation of the sidecar has said.
      revision: Highest revision that this incarnation has named.
      dropped: Messages thrown away because their attempt was unknown,
        superseded, or had them already.
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
        """Makes a peer; `run` links it.

        Args:
          upstream: Name of the upstream.
          spec: What the configuration says of it.
          connect: Dials host and port for this peer.
          holder: Configuration in force.
          recover_s: See `Attempt`.
          on_revision: Called with a revision higher than the one in force.
        """
        self.upstream = upstream
        self.availability_zone = spec.availability_zone
        self.address = spec.sidecar
        self.status = status.Status()
        self.revision = 0
        self.dropped = 0
        self._spec = spec
        self._listing = listing.Listing()
        self._dialer = dialer.Dialer(
            upstream,
            spec.sidecar,
            self._listing,
            lambda host, port: connect(host, port, self),
        )
        self._holder = holder
        self._recover_s = recover_s
        self._on_revision = on_revision
        self._link: link.Link | None = None
        self._attempts: dict[str, peer_attempt.Attempt] = {}
        # Sidecars forget tails by themselves, so that the oldest may be lost.
        self._deferred: collections.deque[message.Message] = collections.deque(
            maxlen=MAX_DEFERRED
        )
        self._fetches = fetch.Fetches(self.send)
        self._retired = False
        # When the link ended; None if it did not, or nobody is there.
        self._lost: float | None = None
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
        """Newest Load of this incarnation; None before the first."""
        return self.status.load

    @property
    def linked(self) -> bool:
        """Whether there is a link now."""
        return self._link is not None and not self._link.closed

    @property
    def leaving(self) -> bool:
        """Whether the upstream takes no new work.

        A host may leave without a word of its sidecar, when only the host
        list says so.
        """
        if self._retired or self._spec.draining or self.status.going_away:
            return True
        return self.status.leaving or self._listing.leaving

    @property
    def outstanding(self) -> int:
        """Attempts open at this sidecar."""
        return len(self._attempts)

    @property
    def retired(self) -> bool:
        """Whether the peer ends with its last attempt."""
        return self._retired

    def serves(self, name: str) -> bool:
        """Whether new work for the model or service may be sent now."""
        return self.linked and self._offers(name)

    def is_returning(self, name: str) -> bool:
        """Whether the link ended just now, and the next may take new work.

        Not if a dial has been refused since, by which the sidecar is gone.
        """
        if self.linked or self._lost is None or not self._offers(name):
            return False
        return asyncio.get_running_loop().time() - self._lost < RETURN_S

    def _offers(self, name: str) -> bool:
        """Whether the upstream takes work for a model or service."""
        if self.leaving:
            return False
        if name in self._spec.services:
            return self.status.healthy
        return name in self._spec.models and self.status.has_loaded(name)

    def open(self, dispatch: message.Dispatch) -> peer_attempt.Attempt:
        """Sends a Dispatch and gives the attempt.

        If it can't be written to a link, the attempt answers Refused at
        once: it has not run and never will.
        """
        attempt = peer_attempt.Attempt(dispatch, self, self._recover_s)
        self._attempts[attempt.id] = attempt
        if self.status.going_away and not dispatch.recover:
            # Chosen before its word came, by whose echo it may exit.
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
        """Gets the sidecar's configuration if newer than `revision`.

        Raises:
          error.ConfigFetchError: There is no link, or no newer configuration
            came in time.
        """
        return await self._fetches.fetch(revision)

    def update(self, spec: model.Upstream, state: str, address: str) -> None:
        """Takes what the configuration says now, and the host list."""
        if self._listing.take(state, address):
            self._wake.set()
        self._spec = spec
        self.availability_zone = spec.availability_zone

    def retire(self) -> None:
        """Takes no new work; the link is closed with the last attempt."""
        self._retired = True
        self._end_if_done()

    def reinstate(self) -> None:
        """Undoes `retire`."""
        self._retired = False

    async def run(self) -> None:
        """Links and links again until retired and out of attempts."""
        delays = backoff.delays()
        clock = asyncio.get_running_loop().time
        try:
            while not self._done:
                began = clock()
                conn = await self._dialer.dial()
                if conn is not None:
                    await self._serve(conn)
                elif not self._dialer.is_silent:
                    self._lost = None
                if clock() - began > STABLE_S:
                    delays = backoff.delays()
                if not self._done:
                    await self._pause(next(delays))
        finally:
            for attempt in list(self._attempts.values()):
                attempt.expire()

    def send(self, msg: message.Message) -> bool:
        """Sends a message if there is a link; False if there is none.

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

    def send_later(self, msg: message.Message) -> None:
        """Sends a message now, or on the next link to this incarnation."""
        if not self.send(msg):
            self._deferred.append(msg)

    def send_go_away(self, reason: str) -> None:
        """Tells the sidecar not to wait for this router when the link ends."""
        self.send(message.GoAway(reason))

    async def send_body(self, msg: message.Body) -> None:
        """Sends a message and waits while the link is congested.

        Raises:
          wire_error.LinkClosedError: There is no link.
        """
        if self._link is None:
            raise wire_error.LinkClosedError(f'no link to {self.upstream}')
        await self._link.send(msg)

    def forget(self, attempt: peer_attempt.Attempt) -> None:
        """Takes an attempt off the peer."""
        self._attempts.pop(attempt.id, None)
        self._end_if_done()

    @property
    def _done(self) -> bool:
        return self._retired and not self._attempts

    def _end_if_done(self) -> None:
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

    async def _serve(self, conn: link.Link) -> None:
        self._link = conn
        try:
            self._adopt(conn.peer)
            async for msg in conn.messages():
                self._take(msg)
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
            self._lost = asyncio.get_running_loop().time()
            conn.close()
            for attempt in self._attempts.values():
                attempt.link_lost()
            self._fetches.fail()

    def _adopt(self, welcome: message.Welcome) -> None:
        """Takes up the attempts, on the same sidecar or on a new one."""
        same = welcome.incarnation == self.incarnation
        if not same:
            # Nothing that is known of the old one holds for the new one.
            self.status = status.Status(welcome.incarnation)
            self.revision = 0
            self._deferred.clear()
            self._listing.outdate()
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
            attempt.link_up(same=same)
        self.see(welcome.revision)

    def _take(self, msg: message.Message) -> None:
        cls = type(msg)
        if cls in peer_attempt.TAKE:
            self._take_answer(msg)
        elif cls is message.Load:
            self.status.take_load(msg)
            self.see(msg.revision)
        elif cls is message.Leaving:
            self.status.leaving = True
            event.note(event.Leaving(upstream=self.upstream, reason=msg.reason))
        elif cls is message.GoAway:
            self.status.going_away = True
            event.note(
                event.GoingAway(upstream=self.upstream, reason=msg.reason)
            )
        elif cls is message.ConfigFetch:
            self._give_config(msg)
        elif cls is message.ConfigReply:
            self._fetches.settle(msg)
        else:
            raise wire_error.ProtocolError(f'{cls.__name__} from a sidecar')

    def _take_answer(self, msg: message.Message) -> None:
        attempt = self._attempts.get(msg.attempt)
        if attempt is not None and attempt.take(msg):
            return
        self.dropped += 1
        dropped_total.inc({'upstream': self.upstream})
        # A sidecar keeps the end of an answer until somebody acknowledges it.
        if attempt is None and type(msg) in (message.Finished, message.Failed):
            self.send(message.Ack(msg.attempt))

    def see(self, revision: int) -> None:
        """Takes a revision that the sidecar has named."""
        self.revision = max(self.revision, revision)
        if revision > self._holder.revision:
            self._on_revision(revision, self)

    def _give_config(self, msg: message.ConfigFetch) -> None:
        reply = fetch_handler.build_reply(self._holder, msg)
        if reply is not None:
            self.send(reply)
