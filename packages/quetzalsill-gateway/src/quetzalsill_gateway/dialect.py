"""What a deployment calls the things that travel in headers and calls.

The gateway's decisions know none of these names; a deployment's adapter
brings them.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet.upstream import Upstream
    from quetzalsill_gateway.http import message

__all__ = ['Dialect', 'EngineCalls', 'MoveResult', 'Prompt', 'Report', 'Run']


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """What a caller says of its generation.

    Attributes:
      input_tokens: Tokens of the prompt.
      output_limit: Most tokens to generate.
      output_hint: Tokens that the caller expects; 0 if it does not say.
    """

    input_tokens: int = 0
    output_limit: int = 0
    output_hint: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """A generation as its engine reports it.

    Attributes:
      request_id: Id of the request.
      tokens: Its tokens in memory.
      events: Events that it has made.
    """

    request_id: str
    tokens: int
    events: int


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """What an engine says of itself, some time ago.

    Attributes:
      queued: Requests that wait at the engine.
      running: Requests that it works on.
      used_tokens: Memory in use that cannot be given up.
      capacity_tokens: Memory in all.
      leaving: It takes no new work.
      leaving_in_s: Time until it goes; None if not known.
      runs: What it works on.
      incarnation: Start of the engine that reports; 0 if not told.
    """

    queued: int
    running: int
    used_tokens: int
    capacity_tokens: int
    leaving: bool
    leaving_in_s: float | None
    runs: tuple[Run, ...]
    incarnation: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class MoveResult:
    """Outcome of an order to copy a run's memory to another engine.

    Attributes:
      handle: Names the copy, and the stopped run at its source; empty if
        there is none.
      events: Events that the run has made.
      copied: Whether the copy is complete at the destination.
      unknown_run: The engine knows no such run.
      refused: The engine did not carry the order out, and may have the run.
      code: What the engine answered, for logs.
    """

    handle: str = ''
    events: int = 0
    copied: bool = False
    unknown_run: bool = False
    refused: bool = False
    code: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class EngineCalls:
    """Orders to engines.

    Attributes:
      report: Asks an engine how it does.
      move: Copies a run, by request id, to a destination; with `last` the
        run stops first. Raises `http.error.CallError`.
      release: Frees a copy by its handle, at the engine it was made at (and
        where it lies) or at the one where it lies. Raises
        `http.error.CallError`.
    """

    report: Callable[[Upstream], Awaitable[Report]]
    move: Callable[[Upstream, str, Upstream, bool], Awaitable[MoveResult]]
    release: Callable[[Upstream, str], Awaitable[None]]


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """Names of headers, all in lower case, and their readers.

    Attributes:
      request_id: Id of the request, repeated in the answer.
      deadline_ms: Time that the caller, or the upstream, has left.
      expected_upstream: Id of the upstream that is to take the request.
      account: Client account, set by the gateway.
      receipt: Proof, in an answer, that an upstream made it.
      not_run: Present in an answer to a request that has not run.
      priority: Urgency at the engine.
      resume_after: Id of the last event that the caller has.
      kv_from: Copy of a run's memory from which to go on.
      backup: Upstream to which the memory of a run is sent as it grows.
      reserved: Headers that callers must not set.
      parse_prompt: Reads what a caller says of its generation.
      format_kv_from: Value of `kv_from` for an upstream and a handle.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_upstream: bytes
    account: bytes
    receipt: bytes
    not_run: bytes
    priority: bytes
    resume_after: bytes
    kv_from: bytes
    backup: bytes
    reserved: frozenset[bytes]
    parse_prompt: Callable[[message.Headers], Prompt]
    format_kv_from: Callable[[Upstream, str], bytes]
