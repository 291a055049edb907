"""One link of a router, served by one task."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from quetzalsill.config import fetch_handler
from quetzalsill.schema import error as schema_error
from quetzalsill.wire import error as wire_error
from quetzalsill.wire import message
from quetzalsill_sidecar import event

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzalsill.config import holder
    from quetzalsill.wire import link as link_lib
    from quetzalsill_sidecar import fetch as fetch_lib
    from quetzalsill_sidecar import intake
    from quetzalsill_sidecar.attempt import table

__all__ = ['Session']

# What ends an attempt. Routers acknowledge only some of them.
TERMINALS = (
    message.Refused,
    message.Withdrawn,
    message.Finished,
    message.Failed,
)


class Session:
    """Acts on the messages of one router.

    Attributes:
      link: The link that is served.
      is_going_away: Whether the router has said that it ends.
      terminals: How many terminal messages were sent.
    """

    def __init__(
        self,
        link: link_lib.Link,
        intake: intake.Intake,
        attempts: table.Attempts,
        configuration: holder.Holder,
        fetch: fetch_lib.ConfigFetch,
    ) -> None:
        """Takes a link whose handshake is done."""
        self.link = link
        self.is_going_away = False
        self.terminals = 0
        self._intake = intake
        self._attempts = attempts
        self._configuration = configuration
        self._fetch = fetch
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
        """Acts on messages until the link ends.

        Raises:
          WireError: The link ended or broke the protocol.
        """
        self.link.on_revision = self._see
        self._see(self.link.peer.revision)
        try:
            async for msg in self.link.messages():
                self._handle(msg)
        finally:
            self._detach()

    def put(self, msg: message.Message) -> None:
        """Sends to the router; a link that is gone is noticed by `serve`."""
        self.terminals += isinstance(msg, TERMINALS)
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

    def _see(self, revision: int) -> None:
        self._fetch.offer(self, revision)

    def _detach(self) -> None:
        self._fetch.forget(self)
        now = asyncio.get_running_loop().time()
        for attempt in self._attempts.of_link(self):
            attempt.detach(now)
            self._intake.cut_body(attempt)

    def _on_dispatch(self, msg: message.Dispatch) -> None:
        self._see(msg.revision)
        self._intake.dispatch(msg, self, self.put)

    def _on_body(self, msg: message.Body) -> None:
        attempt = self._attempts.get(msg.attempt)
        if attempt is not None:
            attempt.body.feed(msg.data, last=msg.last)

    def _on_credit(self, msg: message.Credit) -> None:
        attempt = self._attempts.get(msg.attempt)
        # A link that was replaced may still deliver; its credit was counted
        # anew by the Resume on the other link.
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
        reply = fetch_handler.build_reply(self._configuration, msg)
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
        self._fetch.answered(self)

    def _on_go_away(self, msg: message.GoAway) -> None:
        self.is_going_away = True
        event.note(
            event.RouterLeaving(router=self.link.peer.node, reason=msg.reason)
        )
