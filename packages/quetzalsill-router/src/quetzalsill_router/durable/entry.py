"""An accepted request as stored in the journal."""

from __future__ import annotations

import dataclasses

from quetzalsill.error import request as request_error

__all__ = ['Entry', 'Position', 'Run', 'parse_request_id']


@dataclasses.dataclass(slots=True, frozen=True)
class Position:
    """Position of an accepted request in a log.

    Attributes:
      log: Name of the log.
      segment: Number of the segment in the log, starting at 1.
      index: Index of the entry in the segment, starting at 0.
    """

    log: str
    segment: int
    index: int

    def __str__(self) -> str:
        return f'{self.log}-{self.segment}-{self.index}'


def parse_request_id(request: str) -> Position:
    """Parses a request id into the position of its entry.

    Raises:
      NotFoundError: The id was not issued by a journal.
    """
    parts = request.rsplit('-', 2)
    if len(parts) != 3 or not (parts[1].isdecimal() and parts[2].isdecimal()):
        raise request_error.UnknownRequestError(f'no request {request!r}')
    return Position(parts[0], int(parts[1]), int(parts[2]))


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """The upstream to which an entry was or is about to be dispatched.

    Attributes:
      attempt: Id of the attempt.
      upstream: Name of the upstream.
      incarnation: Incarnation of the upstream's sidecar.
      engine: Incarnation of the upstream's engine; 0 if unknown.
    """

    attempt: str
    upstream: str
    incarnation: int
    engine: int = 0


@dataclasses.dataclass(slots=True)
class Entry:
    """An accepted request, with everything another router needs to run it.

    Attributes:
      account: Client account.
      profile: Profile name.
      model: Model or service name.
      kind: `completion`, `chat` or `call`.
      payload: Body of the request.
      stream: The caller requested events rather than a single document.
      durable: The profile guarantees that the request is never lost.
      idempotent: The work may be run more than once.
      idempotency_key: The caller's key; empty if none.
      digest: Digest of everything that determines whether two requests are
        equal.
      accepted_ms: Wall-clock time of acceptance, in ms since the epoch. It
        must remain valid on other hosts, so it cannot be monotonic; it is
        used only as a bound.
      deadline_ms: Wall-clock time of the deadline, in ms since the epoch.
      method: HTTP method of a call; empty otherwise.
      path: Path of a call below its service; empty otherwise.
      headers: Header pairs of a call, in order.
      trace: W3C traceparent.
      request: Id of the request; set by `Journal.accept`.
      run: Latest dispatch; None before the first one. An entry accepted
        with a run needs no `Journal.record_dispatch` for that run.
      fence: Ownership epoch of the entry; increases with each takeover and is
        sent in each Dispatch.
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
        """Returns the seconds left, at most as many as at acceptance.

        The clocks of two hosts may differ; the limit prevents a clock that is
        behind from extending the deadline.
        """
        allowed = self.deadline_ms - self.accepted_ms
        left = min(self.deadline_ms - now_ms, allowed)
        return max(left, 0) / 1000
