"""What one request asks for, once it is accepted."""

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
      request: Id of the request, the same over its attempts.
      account: Client account that pays for it.
      profile_name: Profile picked for it.
      profile: The profile that bounds it; `renew` keeps it up to date.
      target: Model or service name.
      kind: `completion`, `chat` or `call`.
      payload: JSON of a generation, or first bytes of a call's body.
      deadline: Monotonic time by which the whole answer is due.
      idempotent: The work may run again while nothing was delivered.
      stream: The caller wants the answer as it comes.
      revision: Configuration under which all this was decided.
      prompt_tokens: Estimated tokens of the prompt.
      requested_tokens: Bound on the answer that the caller gave; 0 for none.
      max_tokens: Bound on generated tokens.
      prefix: Digest of the prompt prefix; empty if too short to matter.
      adapter: Adapter asked for; empty for none.
      method: HTTP method of a call.
      path: Path and query of a call below its service.
      headers: Header pairs of a call.
      body: Rest of a call's body after `payload`; None if there is none.
      entry: What the journal keeps of it; None if it is not journalled.
      run: Its newest dispatch; None before the first.
      recover_only: It may not be dispatched anew; only the outcome of an
        earlier run is asked for.
      trace: W3C traceparent of the request's span.
      key: Idempotency key; empty if the caller sent none.
      body_consumed: Some of `body` was sent, so that it can't be sent again.
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
        """Whether it is never lost once accepted; calls never are."""
        if self.entry is not None:
            return self.entry.durable
        return self.profile.durable and self.kind != CALL

    @property
    def is_buffered(self) -> bool:
        """Whether the caller gets nothing before the answer is complete."""
        if self.kind == CALL:
            return False
        return not self.stream or self.profile.delivery == 'whole'

    def remaining_s(self) -> float:
        """Returns the seconds left to the deadline, below 0 once past."""
        return self.deadline - time.monotonic()
