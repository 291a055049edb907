"""A caller that takes its stream up again after a broken connection."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import re
from collections.abc import Callable

from quetzalsill_dev.users_platform import caller as caller_lib

__all__ = ['Attempt', 'StreamRecord', 'run']

OK = 200
EVENT = re.compile(rb'id: (\d+)\ndata: [^\n/]*/\d+(?:/([^\n]*))?\n\n')
MAX_TRIES = 4
RETRY_PAUSE_S = 0.05
# A caller waits no longer than this before it tries again.
MAX_RETRY_PAUSE_S = 1.0
TRY_TIMEOUT_S = 8.0
_numbers = itertools.count(1)


@dataclasses.dataclass(slots=True, frozen=True)
class Attempt:
    """One try of a caller.

    Attributes:
      request_id: Its id.
      takes_up: Whether it goes on after events of an earlier try.
      status: Status of the response; 0 if there was none.
      events: Number of events that it brought.
      versions: Software versions that wrote them.
      reason: Body of a refusal.
      is_connected: Whether a gateway accepted its connection.
      is_complete: Whether the response ended as its framing requires.
      serving: Number of upstreams that could continue the stream when its
        caller took it up.
    """

    request_id: str
    takes_up: bool
    status: int
    events: int
    versions: frozenset[str]
    reason: str = ''
    is_connected: bool = True
    is_complete: bool = False
    serving: int = 0

    @property
    def is_served(self) -> bool:
        """Whether it brought a part of the stream, or found it at its end."""
        return self.status == OK and (self.events > 0 or self.is_complete)


@dataclasses.dataclass(slots=True)
class StreamRecord:
    """A stream over all tries of its caller.

    Attributes:
      attempts: The tries, in order.
      complete: Whether the caller got the whole stream.
      gaps: Whether an event was missing or came twice.
    """

    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    complete: bool = False
    gaps: bool = False

    @property
    def versions(self) -> frozenset[str]:
        """Software versions that wrote its events."""
        return frozenset().union(*(one.versions for one in self.attempts))


async def run(
    pick: Callable[[], tuple[str, int]],
    target: str,
    rng: random.Random,
    headers: dict[str, str] | None = None,
    *,
    method: str = 'POST',
    body: bytes = b'',
    count_serving: Callable[[str], int] = lambda _: 0,
    patience_s: float = 0.0,
) -> StreamRecord:
    """Requests a stream until it is complete, at most `MAX_TRIES` times.

    Args:
      pick: Returns the address of a gateway.
      target: Path and query.
      rng: Draws the ids of attempts.
      headers: Headers of every attempt.
      method: Method in capitals.
      body: Body of every attempt.
      count_serving: Returns the number of upstreams of a software version that
        take new work.
      patience_s: For how long, from the first one on, tries without a response
        don't count.
    """
    record = StreamRecord()
    first_id, last_event = '', 0
    tries = 0
    patient_until_s = 0.0
    while tries < MAX_TRIES:
        tries += 1
        request_id = f'{rng.getrandbits(40):010x}{next(_numbers):06x}'
        more = dict(headers or {})
        if first_id:
            more |= {'Last-Event-Id': str(last_event), 'Resumes': first_id}
        serving = sum(map(count_serving, record.versions))
        response = caller_lib.Response()
        client = caller_lib.Caller(*pick())
        is_connected = False
        try:
            async with asyncio.timeout(TRY_TIMEOUT_S):
                await client.open()
                is_connected = True
                await client.request(
                    target,
                    method=method,
                    headers=more,
                    body=body,
                    request_id=request_id,
                    response=response,
                )
        except (TimeoutError, OSError):
            response.complete = False
        client.disconnect()
        found = EVENT.findall(response.body) if response.status == OK else []
        attempt = Attempt(
            request_id,
            bool(first_id),
            response.status,
            len(found),
            frozenset(version.decode() for _, version in found),
            response.body.decode(errors='replace')
            if response.status != OK
            else '',
            is_connected,
            response.complete,
            serving,
        )
        now = asyncio.get_running_loop().time()
        if not attempt.status and patience_s:
            patient_until_s = patient_until_s or now + patience_s
            if now < patient_until_s:
                tries -= 1
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
        record.attempts.append(attempt)
        for number, _ in found:
            record.gaps |= int(number) != last_event + 1
            last_event = int(number)
        if found and not first_id:
            first_id = request_id
        if response.status == OK and response.complete:
            record.complete = True
            break
        pause_s = float(response.headers.get('retry-after', RETRY_PAUSE_S))
        await asyncio.sleep(min(pause_s, MAX_RETRY_PAUSE_S))
    return record
