"""Handles the messages of one router link, in one task."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from quetzalsill.config import share
from quetzalsill.schema import error as schema_error
from quetzalsill.wire import error as wire_error
from quetzalsill.wire import message
from quetzalsill_sidecar import event

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill.config import holder
    from quetzalsill.wire import link as link_lib
    from quetzalsill_sidecar import config_fetcher, intake
    from quetzalsill_sidecar.attempt import table

__all__ = ['Session']

# Messages that end an attempt. Routers acknowledge only some of them.
TERMINALS = (
    message.Refused,
    message.Withdrawn,
    message.Finished,
    message.Failed,
)


class Session:
    """Handles the messages of one router.

    Attributes:
      link: The link that is served.
      is_going_away: Whether the router has announced its shutdown.
      terminal_count: Number of terminal messages sent.
    """

    def __init__(
        self,
        link: link_lib.Link,
        intake: intake.Intake,
        attempts: table.Attempts,
        configuration: holder.Holder,
        fetcher: config_fetcher.ConfigFetcher,
    ) -> None:
        """Creates a session on a link whose handshake is complete."""
        self.link = link
        self.is_going_away = False
        self.terminal_count = 0
        self._intake = intake
        self._attempts = attempts
        self._configuration = configuration
        self._config_fetcher = fetcher
        self._handlers: dict[type, Callable[..., None]] = {
            message.Dispatch: self._on_dispatch,
            message.Body: self._on_body,
            message.Credit: self._on_credit,
            message.Ack: self._on_ack,
            message.Withdraw: self._on_withdraw,
            message.Cancel: self._on_cancel,
            message.Resume: self._on_resume,
            message.ConfigFetch: self._on_config_fetch,
            message.ConfigReply: self._on_config_reply,
            message.GoAway: self._on_go_away,
        }

    async def serve(self) -> None:
        """Handles messages until the link closes.

        Raises:
          WireError: The link closed or broke the protocol.
        """
        self.link.on_revision = self._offer_revision
        self._offer_revision(self.link.peer.revision)
        try:
            async for msg in self.link.messages():
                self._handle(msg)
        finally:
            self._detach()

    def put(self, msg: message.Message) -> None:
        """Sends to the router; `serve` detects that the link is closed."""
        self.terminal_count += isinstance(msg, TERMINALS)
        with contextlib.suppress(wire_error.LinkClosedError):
            self.link.send_nowait(msg)

    def _handle(self, msg: message.Message) -> None:
        handler = self._handlers.get(type(msg))
        if handler is None:
            event.note(
                event.MessageUnexpected(
                    router=self.link.peer.node,
                    kind=type(msg).__name__,
                )
            )
            return
        handler(msg)

    def _offer_revision(self, revision: int) -> None:
        self._config_fetcher.offer(self, revision)

    def _detach(self) -> None:
        self._config_fetcher.remove_source(self)
        now = asyncio.get_running_loop().time()
        for attempt in self._attempts.of_link(self):
            attempt.detach(now)
            self._intake.stop_incomplete_call(attempt)

    def _on_dispatch(self, msg: message.Dispatch) -> None:
        self._offer_revision(msg.revision)
        self._intake.dispatch(msg, self, self.put)

    def _on_body(self, msg: message.Body) -> None:
        attempt = self._attempts.get(msg.attempt)
        if attempt is not None:
            attempt.body.feed(msg.data, last=msg.last)

    def _on_credit(self, msg: message.Credit) -> None:
        attempt = self._attempts.get(msg.attempt)
        # A replaced link may still deliver messages. Its credit is void: the
        # Resume on the new link has reset the count.
        if attempt is not None and attempt.link is self:
            attempt.tail.grant(msg.seq, msg.items)
            attempt.flush()

    def _on_ack(self, msg: message.Ack) -> None:
        attempt = self._attempts.get(msg.attempt)
        if attempt is not None and attempt.terminal is not None:
            self._attempts.forget(attempt)

    def _on_withdraw(self, msg: message.Withdraw) -> None:
        self._intake.withdraw(msg.attempt, self.put)

    def _on_cancel(self, msg: message.Cancel) -> None:
        self._intake.cancel(msg.attempt)

    def _on_resume(self, msg: message.Resume) -> None:
        self._intake.resume(msg, self, self.put)

    def _on_config_fetch(self, msg: message.ConfigFetch) -> None:
        reply = share.answer(self._configuration, msg)
        if reply is not None:
            self.put(reply)

    def _on_config_reply(self, msg: message.ConfigReply) -> None:
        try:
            self._configuration.install(msg.document, msg.revision)
        except schema_error.InvalidDocumentError as exc:
            event.note(
                event.ConfigurationInvalid(
                    router=self.link.peer.node,
                    revision=msg.revision,
                    detail=str(exc),
                )
            )
        self._config_fetcher.record_reply(self)

    def _on_go_away(self, msg: message.GoAway) -> None:
        self.is_going_away = True
        event.note(
            event.RouterLeaving(router=self.link.peer.node, reason=msg.reason)
        )
