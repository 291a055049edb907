"""Requests for a generation, and the events and responses for them."""

from __future__ import annotations

import dataclasses
import json
import random
import re
import time
import uuid
from typing import TYPE_CHECKING, Any

from quetzalsill_dev.engine_standin import prefix_cache

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    'DONE',
    'CompletionRequest',
    'InvalidRequestError',
    'draw_length',
    'error_event',
    'event_writer',
    'parse',
    'build_response',
]

DONE = b'data: [DONE]\n\n'
FIXED_LENGTH = re.compile(r'\[\[tokens=(\d{1,6})\]\]')
LENGTH_MU = 5.0
LENGTH_SIGMA = 1.3
MAX_LENGTH = 20_000


class InvalidRequestError(ValueError):
    """A field of the request is missing or has an invalid value."""


@dataclasses.dataclass(slots=True)
class CompletionRequest:
    """A request for a generation.

    Attributes:
      request_id: Id from the caller, or a generated one.
      model: Name of the model.
      adapter: Name of the adapter; empty for none.
      prompt: The prompt, or the messages of a chat joined to one text.
      chat: Whether it is a chat completion.
      stream: Whether the response is an event stream.
      priority: 0 is the highest priority.
      max_tokens: Maximum length of the response; None for no limit.
    """

    request_id: str
    model: str
    adapter: str
    prompt: str
    chat: bool
    stream: bool
    priority: int
    max_tokens: int | None

    def length(self, seed: int) -> int:
        """Returns the response's length in tokens, without `max_tokens`."""
        return draw_length(self.prompt, seed)


def parse(body: Any, chat: bool) -> CompletionRequest:
    """Parses the decoded JSON of a request.

    Raises:
      InvalidRequestError: A field is missing or has an invalid value.
    """
    if not isinstance(body, dict):
        raise InvalidRequestError('the body is not an object')
    max_tokens = body.get('max_tokens', body.get('max_completion_tokens'))
    if max_tokens is not None and (type(max_tokens) is not int):
        raise InvalidRequestError('max_tokens is not an integer')
    if max_tokens is not None and max_tokens < 1:
        raise InvalidRequestError('max_tokens is below 1')
    return CompletionRequest(
        request_id=_field(body, 'request_id', str, str(uuid.uuid4())),
        model=_field(body, 'model', str, ''),
        adapter=_field(body, 'adapter', str, ''),
        prompt=_chat_prompt(body) if chat else _completion_prompt(body),
        chat=chat,
        stream=_field(body, 'stream', bool, False),
        priority=_field(body, 'priority', int, 5),
        max_tokens=max_tokens,
    )


def _field(body: dict[str, Any], name: str, kind: type, default: Any) -> Any:
    value = body.get(name, default)
    if type(value) is not kind:
        raise InvalidRequestError(f'{name} is not {kind.__name__}')
    return value


def _completion_prompt(body: dict[str, Any]) -> str:
    return _field(body, 'prompt', str, None)


def _chat_prompt(body: dict[str, Any]) -> str:
    messages = _field(body, 'messages', list, None)
    lines = []
    for msg in messages:
        if not isinstance(msg, dict):
            raise InvalidRequestError('a message is not an object')
        content = msg.get('content')
        text = content if isinstance(content, str) else json.dumps(content)
        lines.append(f'{msg.get("role")}: {text}')
    return '\n'.join(lines)


def draw_length(prompt: str, seed: int) -> int:
    """Returns the length of the response to a prompt, in tokens.

    It is the one that the prompt sets with `[[tokens=N]]`, else drawn from a
    heavy-tailed distribution.
    """
    fixed = FIXED_LENGTH.search(prompt)
    if fixed:
        return max(int(fixed[1]), 1)
    draw = random.Random(f'{seed}/{prompt}').lognormvariate(
        LENGTH_MU, LENGTH_SIGMA
    )
    return min(max(int(draw), 1), MAX_LENGTH)


def event_writer(
    req: CompletionRequest, number: int, finish_reason: str
) -> Callable[[int, bool], bytes]:
    """Returns a function that encodes the event of a token."""
    created = int(time.time())

    def write(index: int, last: bool) -> bytes:
        text = f'g{number}.{index} '
        event = _envelope(req, created, stream=True) | {
            'generation': number,
            'index': index,
            'choices': [_choice(req, text, finish_reason if last else None)],
        }
        if last:
            event['usage'] = _usage(req, index + 1)
        return b'data: ' + json.dumps(event).encode() + b'\n\n'

    return write


def error_event(code: str) -> bytes:
    """Returns the event that ends a stream which can't be completed."""
    return b'data: ' + json.dumps({'error': {'code': code}}).encode() + b'\n\n'


def build_response(
    req: CompletionRequest, number: int, tokens: int, finish_reason: str
) -> dict[str, Any]:
    """Returns the complete response of a request without streaming."""
    text = ''.join(f'g{number}.{index} ' for index in range(tokens))
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason}
    if req.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return _envelope(req, int(time.time()), stream=False) | {
        'generation': number,
        'choices': [choice],
        'usage': _usage(req, tokens),
    }


def _envelope(
    req: CompletionRequest, created: int, stream: bool
) -> dict[str, Any]:
    kind = 'text_completion'
    if req.chat:
        kind = 'chat.completion.chunk' if stream else 'chat.completion'
    return {
        'id': req.request_id,
        'object': kind,
        'created': created,
        'model': req.model,
    }


def _choice(
    req: CompletionRequest, text: str, finish_reason: str | None
) -> dict[str, Any]:
    content = {'delta': {'role': 'assistant', 'content': text}}
    if not req.chat:
        content = {'text': text}
    return {'index': 0, 'finish_reason': finish_reason} | content


def _usage(req: CompletionRequest, tokens: int) -> dict[str, int]:
    prompt_tokens = prefix_cache.count_tokens(req.prompt)
    return {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': tokens,
        'total_tokens': prompt_tokens + tokens,
    }
