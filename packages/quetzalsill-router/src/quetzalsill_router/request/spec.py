"""Specification of an accepted request."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

from quetzalsill.wire import kind as wire_kind

if TYPE_CHECKING:
    from quetzalsill.config import model
    from quetzalsill_router.durable import entry as durable_entry

__all__ = ['CALL', 'CHAT', 'COMPLETION', 'Work']

COMPLETION = wire_kind.COMPLETION
CHAT = wire_kind.CHAT
CALL = wire_kind.CALL


@dataclasses.dataclass(slots=True)
class Work:
    """An accepted request.

    Attributes:
      request: Id of the request, the same for all of its attempts.
      account: Client account that it is charged to.
      profile_name: Name of the profile selected for it.
      profile: Profile with its limits; `revalidation` keeps it up to date.
      target: Name of the model or service.
      kind: `completion`, `chat` or `call`.
      payload: JSON of a generation, or first bytes of a call's body.
      deadline: Monotonic time by which the answer must be complete.
      idempotent: The work may run again while nothing was delivered.
      stream: The caller requested a streamed answer.
      revision: Configuration revision that these values are based on.
      prompt_tokens: Estimated tokens of the prompt.
      requested_tokens: The caller's limit on generated tokens; 0 for none.
      max_tokens: Effective limit on generated tokens.
      prefix: Digest of the prompt prefix; empty if the prompt is too short.
      adapter: Requested adapter; empty for none.
      method: HTTP method of a call.
      path: Path and query of a call, relative to its service.
      headers: Header pairs of a call.
      body: Rest of a call's body after `payload`; None if there is none.
      entry: Its journal entry; None if it is not journalled.
      run: Its latest dispatch; None before the first.
      recover_only: It must not be dispatched again; only the outcome of an
        earlier run is requested.
      trace: W3C traceparent of the request's span.
      key: Idempotency key; empty if the caller sent none.
      body_consumed: Part of `body` was sent, so it can't be sent again.
    """

    request: str
    account: str
    profile_name: str
    profile: model.Profile
    target: str
    kind: str
    payload: bytes
    deadline: float
    idempotent: bool
    stream: bool = False
    revision: int = 0
    prompt_tokens: int = 0
    requested_tokens: int = 0
    max_tokens: int = 0
    prefix: str = ''
    adapter: str = ''
    method: str = 'POST'
    path: str = ''
    headers: list[list[str]] = dataclasses.field(default_factory=list)
    body: AsyncIterator[bytes] | None = None
    entry: durable_entry.Entry | None = None
    run: durable_entry.Run | None = None
    recover_only: bool = False
    trace: str = ''
    key: str = ''
    body_consumed: bool = False

    @property
    def durable(self) -> bool:
        """Whether it survives a failure of its router; False for calls."""
        if self.entry is not None:
            return self.entry.durable
        return self.profile.durable and self.kind != CALL

    @property
    def is_buffered(self) -> bool:
        """Whether the answer is buffered until it is complete."""
        if self.kind == CALL:
            return False
        return not self.stream or self.profile.delivery == 'whole'

    def remaining_s(self) -> float:
        """Returns the seconds until the deadline, negative once it passed."""
        return self.deadline - time.monotonic()
