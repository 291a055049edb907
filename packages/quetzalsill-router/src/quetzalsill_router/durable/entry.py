"""An accepted request as the journal keeps it."""

from __future__ import annotations

import dataclasses

from quetzalsill.error import request as request_error

__all__ = ['Entry', 'Position', 'Run', 'parse_request_id']


@dataclasses.dataclass(slots=True, frozen=True)
class Position:
    """Where the acceptance of a request stands.

    Attributes:
      log: Name of the log.
      segment: Number of the segment in the log, from 1.
      index: Number of the entry in the segment, from 0.
    """

    log: str
    segment: int
    index: int

    def __str__(self) -> str:
        return f'{self.log}-{self.segment}-{self.index}'


def parse_request_id(request: str) -> Position:
    """Reads the place out of a request id.

    Raises:
      NotFoundError: The id is not one that a journal gave.
    """
    parts = request.rsplit('-', 2)
    if len(parts) != 3 or not (parts[1].isdecimal() and parts[2].isdecimal()):
        raise request_error.UnknownRequestError(f'no request {request!r}')
    return Position(parts[0], int(parts[1]), int(parts[2]))


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """Where an entry was dispatched, or is about to be.

    Attributes:
      attempt: Id of the attempt.
      upstream: Name of the upstream.
      incarnation: Incarnation of the upstream's sidecar.
      engine: Incarnation of the engine there; 0 if unknown.
    """

    attempt: str
    upstream: str
    incarnation: int
    engine: int = 0


@dataclasses.dataclass(slots=True)
class Entry:
    """An accepted request, with all that another router needs to run it.

    Attributes:
      account: Client account.
      profile: Profile name.
      model: Model or service name.
      kind: `completion`, `chat` or `call`.
      payload: Body of the request.
      stream: The caller asked for events rather than one document.
      durable: The profile promises that the request is never lost.
      idempotent: The work may be run again.
      idempotency_key: The caller's key; empty if none.
      digest: Digest of all that makes two requests the same.
      accepted_ms: Wall clock at acceptance, in ms since the epoch. It must
        outlast the host, so it cannot be monotonic; it only bounds.
      deadline_ms: Wall clock of the deadline, in ms since the epoch.
      method: HTTP method of a call; empty otherwise.
      path: Path of a call below its service; empty otherwise.
      headers: Header pairs of a call, in order.
      trace: W3C traceparent.
      request: Id of the request; set by `Journal.accept`.
      run: Newest dispatch; None while there was none. An entry accepted
        with a run needs no `Journal.record_dispatch` for that run.
      fence: Ownership epoch of the entry; grows with each takeover and goes
        into each Dispatch.
    """

    account: str
    profile: str
    model: str
    kind: str
    payload: bytes
    stream: bool
    durable: bool
    idempotent: bool
    idempotency_key: str
    digest: str
    accepted_ms: int
    deadline_ms: int
    method: str = ''
    path: str = ''
    headers: list[list[str]] = dataclasses.field(default_factory=list)
    trace: str = ''
    request: str = ''
    run: Run | None = None
    fence: int = 1

    def remaining_s(self, now_ms: int) -> float:
        """Gives the seconds left, never more than at acceptance.

        The clocks of two hosts may differ; the bound keeps a clock that is
        behind from prolonging the deadline.
        """
        allowed = self.deadline_ms - self.accepted_ms
        left = min(self.deadline_ms - now_ms, allowed)
        return max(left, 0) / 1000
