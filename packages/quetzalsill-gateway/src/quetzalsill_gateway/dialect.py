"""Interface to a deployment's header names and engine calls.

The rest of the gateway does not depend on these names; a deployment's adapter
provides them.
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
    """Token counts that a caller states for its generation.

    Attributes:
      input_tokens: Tokens of the prompt.
      output_limit: Maximum number of tokens to generate.
      output_hint: Expected number of output tokens; 0 if not stated.
    """

    input_tokens: int = 0
    output_limit: int = 0
    output_hint: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """A generation as reported by its engine.

    Attributes:
      request_id: Id of the request.
      tokens: Its tokens in the KV cache.
      events: Number of events generated so far.
    """

    request_id: str
    tokens: int
    events: int


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Status that an engine reported some time ago.

    Attributes:
      queued: Requests waiting at the engine.
      running: Requests running.
      used_tokens: KV cache in use that cannot be evicted, in tokens.
      capacity_tokens: Total size of the KV cache, in tokens.
      leaving: Whether it accepts no new work.
      leaving_in_s: Time until it is gone, in seconds; None if unknown.
      runs: Its current runs.
      incarnation: Incarnation of the engine; 0 if not reported.
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
    """Result of a command to copy a run's KV cache to another engine.

    Attributes:
      handle: Identifies the copy, and the stopped run at its source; empty if
        there is none.
      events: Number of events that the run has generated.
      copied: Whether the copy is complete at the destination.
      unknown_run: Whether the engine has no such run.
      refused: Whether the engine did not execute the command; it may still
        have the run.
      code: Response code of the engine, for logs.
    """

    handle: str = ''
    events: int = 0
    copied: bool = False
    unknown_run: bool = False
    refused: bool = False
    code: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class EngineCalls:
    """Control calls to engines.

    Attributes:
      report: Polls the status of an engine.
      move: Copies a run, by request id, to a destination; with `last` the
        run stops first. Raises `http.error.CallError`.
      release: Releases a copy by its handle, either at the engine that made it
        (which also releases it where it is stored) or at the engine where it
        is stored. Raises `http.error.CallError`.
    """

    report: Callable[[Upstream], Awaitable[Report]]
    move: Callable[[Upstream, str, Upstream, bool], Awaitable[MoveResult]]
    release: Callable[[Upstream, str], Awaitable[None]]


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """Header names, all in lower case, and functions that read or write them.

    Attributes:
      request_id: Id of the request, echoed in the response.
      deadline_ms: Time left for the caller, or for the upstream.
      expected_upstream: Id of the upstream meant to serve the request.
      account: Client account, set by the gateway.
      receipt: Proof, in a response, that an upstream produced it.
      not_run: Present in the response to a request that has not run.
      priority: Priority at the engine.
      resume_after: Id of the last event that the caller has received.
      resumes: Id of the request whose stream a caller takes up.
      kv_from: KV cache copy from which to resume a run.
      server_limit: Requests a second that an upstream accepts from all
        gateways together.
      server_leaving: `1` in the response of an upstream that leaves.
      backup: Upstream to which a run's KV cache is copied as it grows.
      reserved: Headers that callers must not set.
      parse_prompt: Reads the token counts that a caller states.
      read_shared_parts: Reads the ids of the parts of a prompt that other
        prompts may hold too, in their order and each once.
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
    resumes: bytes
    kv_from: bytes
    backup: bytes
    server_limit: bytes
    server_leaving: bytes
    reserved: frozenset[bytes]
    parse_prompt: Callable[[message.Fields], Prompt]
    read_shared_parts: Callable[[message.Fields], tuple[bytes, ...]]
    format_kv_from: Callable[[Upstream, str], bytes]
