"""A client that measures the times of the tokens it receives.

Its HTTP library isn't the one that the router uses, and it doesn't retry.
"""

from __future__ import annotations

import dataclasses
import json
import time
from typing import TYPE_CHECKING, Any

import httpx2

if TYPE_CHECKING:
    import ssl

__all__ = ['Response', 'generate', 'open_client']

TIMEOUT_S = 120.0
DATA = 'data: '
DONE = '[DONE]'


@dataclasses.dataclass(slots=True)
class Response:
    """The response to a generation request.

    Attributes:
      status: HTTP status.
      texts: Text of each token, in order of arrival.
      arrivals: Monotonic time of arrival of each token.
      sent_at: Monotonic time when the request was sent.
      ended: Monotonic time when the response ended.
      request: Id that the router assigned to the request; empty without one.
      finish_reason: Reason for the end of the generation; empty if it did not
        end.
      error: Error body; None if there was none.
    """

    status: int = 0
    texts: list[str] = dataclasses.field(default_factory=list)
    arrivals: list[float] = dataclasses.field(default_factory=list)
    sent_at: float = 0.0
    ended: float = 0.0
    request: str = ''
    finish_reason: str = ''
    error: Any = None

    @property
    def generations(self) -> set[str]:
        """Generations to which the tokens belong."""
        return {text.partition('.')[0] for text in self.texts}

    @property
    def first_token_s(self) -> float:
        """Time to the first token; to the end if there is none."""
        return (self.arrivals or [self.ended])[0] - self.sent_at

    @property
    def stall_s(self) -> float:
        """Longest time without an arrival, from the request to the end."""
        times = [self.sent_at, *self.arrivals, self.ended]
        return max(after - before for before, after in _pairs(times))

    @property
    def max_gap_s(self) -> float:
        """Longest time between two tokens; 0 with fewer than two."""
        gaps = (after - before for before, after in _pairs(self.arrivals))
        return max(gaps, default=0.0)

    @property
    def is_complete(self) -> bool:
        """Whether it has all tokens of one generation, each once, in order."""
        expected = [
            f'{name}.{index} '
            for name in self.generations
            for index in range(len(self.texts))
        ]
        return self.texts == expected and bool(self.finish_reason)


def _pairs(times: list[float]) -> zip[tuple[float, float]]:
    return zip(times, times[1:], strict=False)


def open_client(
    base_url: str, token: str = '', tls: ssl.SSLContext | None = None
) -> httpx2.AsyncClient:
    """Returns a client of a router or upstream, which its user closes.

    Without a TLS context it accepts any certificate: loading those of the
    system takes a tenth of a second, which would be measured as a stall.
    """
    headers = {'authorization': f'Bearer {token}'} if token else {}
    limits = httpx2.Limits(max_connections=None)
    return httpx2.AsyncClient(
        base_url=base_url,
        headers=headers,
        timeout=TIMEOUT_S,
        limits=limits,
        verify=tls or False,
        trust_env=False,
    )


async def generate(
    client: httpx2.AsyncClient,
    body: dict[str, Any],
    headers: dict[str, str] | None = None,
    path: str = '/v1/completions',
    answer: Response | None = None,
) -> Response:
    """Requests a generation and reads its event stream to the end.

    Args:
      client: Client of a router or engine.
      body: JSON body; `stream` is added to it.
      headers: Additional headers.
      path: Path of the completions API.
      answer: Filled while the response is read, for concurrent observers.
    """
    answer = answer or Response()
    answer.sent_at = time.monotonic()
    stream_body = body | {'stream': True}
    async with client.stream(
        'POST', path, json=stream_body, headers=headers
    ) as response:
        answer.status = response.status_code
        answer.request = response.headers.get('x-request-id', '')
        if response.status_code != httpx2.codes.OK:
            answer.error = json.loads(await response.aread())
        else:
            async for line in response.aiter_lines():
                _process_line(answer, line)
    answer.ended = time.monotonic()
    return answer


def _process_line(answer: Response, line: str) -> None:
    """Processes a line of an event stream."""
    data = line.removeprefix(DATA)
    if data in (line, DONE):
        return
    event = json.loads(data)
    if 'error' in event:
        answer.error = event
        return
    for choice in event.get('choices', ()):
        answer.finish_reason = choice.get('finish_reason') or ''
        text = choice.get('text') or choice.get('delta', {}).get('content')
        if text:
            answer.texts.append(text)
            answer.arrivals.append(time.monotonic())
