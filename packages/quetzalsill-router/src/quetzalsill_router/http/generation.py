"""Checks the JSON of a generation request, field by field."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

import xxhash

from quetzalsill_router.request import field, spec

__all__ = ['Generation', 'parse']

BYTES_PER_TOKEN = 4
PREFIX_BYTES = 1024
PREFIX_MIN_BYTES = 128
MAX_MESSAGES = 10_000
MAX_STOP_SEQUENCES = 16
ROLES = ('system', 'developer', 'user', 'assistant', 'tool', 'function')
NUMBER_RANGES = {
    'temperature': (0, 2),
    'top_p': (0, 1),
    'presence_penalty': (-2, 2),
    'frequency_penalty': (-2, 2),
}
ROUTER_FIELDS = (
    'n',
    'max_completion_tokens',
    'stream_options',
    'request_id',
    'priority',
)
MAX_SEED = 2**63 - 1


@dataclasses.dataclass(slots=True)
class Generation:
    """A checked generation request.

    Attributes:
      kind: `completion` or `chat`.
      model: Model name.
      adapter: Adapter asked for; empty for none.
      stream: Tokens are wanted as they come.
      include_usage: A last event with the usage is wanted.
      max_tokens: Bound on generated tokens that the caller gave; 0 if none.
      prompt_tokens: Estimated tokens of the prompt.
      prefix: Digest of the prompt's beginning; empty if it is short.
      prompt: The prompt, or the messages of a chat as one text.
      body: The whole JSON object.
    """

    kind: str
    model: str
    adapter: str
    stream: bool
    include_usage: bool
    max_tokens: int
    prompt_tokens: int
    prefix: str
    prompt: str
    body: dict[str, Any]

    def payload(self, max_tokens: int) -> bytes:
        """Renders the body for the engine."""
        body = self.body | {'max_tokens': max_tokens, 'stream': True}
        if self.kind == spec.COMPLETION:
            body['prompt'] = self.prompt
        for name in ROUTER_FIELDS:
            body.pop(name, None)
        return json.dumps(body, separators=(',', ':')).encode()


def parse(kind: str, body: dict[str, Any]) -> Generation:
    """Checks the body of a completion or chat request.

    Raises:
      FieldError: A field is missing or does not fit.
    """
    prompt = _chat(body) if kind == spec.CHAT else _prompt(body)
    _check_numbers(body)
    _check_stop(body)
    if body.get('n') not in (None, 1):
        raise field.FieldError('n', 'only 1 is served; send n requests')
    text = prompt.encode('utf-8', 'replace')
    return Generation(
        kind=kind,
        model=_string(body, 'model', required=True),
        adapter=_string(body, 'adapter'),
        stream=_boolean(body, 'stream'),
        include_usage=_include_usage(body),
        max_tokens=_max_tokens(body),
        prompt_tokens=len(text) // BYTES_PER_TOKEN + 1,
        prefix=_prefix(text),
        prompt=prompt,
        body=body,
    )


def _prefix(text: bytes) -> str:
    """Digests the beginning of a prompt that is long enough to matter."""
    if len(text) < PREFIX_MIN_BYTES:
        return ''
    return xxhash.xxh3_64_hexdigest(text[:PREFIX_BYTES])


def _prompt(body: dict[str, Any]) -> str:
    """Returns the prompt of a completion."""
    prompt = body.get('prompt')
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str) or not prompt:
        raise field.FieldError(
            'prompt', 'must be a string that is not empty, or a list of one'
        )
    return prompt


def _chat(body: dict[str, Any]) -> str:
    """Returns the messages of a chat as one text."""
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        raise field.FieldError('messages', 'must be a list of messages')
    if len(messages) > MAX_MESSAGES:
        raise field.FieldError('messages', f'more than {MAX_MESSAGES}')
    return '\n'.join(
        _message(f'messages[{index}]', item)
        for index, item in enumerate(messages)
    )


def _message(where: str, item: Any) -> str:
    """Returns one message of a chat as text."""
    if not isinstance(item, dict):
        raise field.FieldError(where, 'must be an object')
    role = item.get('role')
    if role not in ROLES:
        raise field.FieldError(
            f'{where}.role', f'must be one of {", ".join(ROLES)}'
        )
    content = item.get('content')
    if isinstance(content, str):
        return f'{role}: {content}'
    if isinstance(content, list):
        return f'{role}: {json.dumps(content)}'
    if content is None and role == 'assistant':
        return f'{role}:'
    raise field.FieldError(f'{where}.content', 'must be a string or a list')


def _string(body: dict[str, Any], name: str, required: bool = False) -> str:
    """Returns a string field; empty if it is absent and may be."""
    found = body.get(name)
    if found is None and not required:
        return ''
    if not isinstance(found, str) or not found or len(found) > 256:
        raise field.FieldError(name, 'must be a string of 1 to 256 characters')
    return found


def _boolean(body: dict[str, Any], name: str) -> bool:
    """Returns a boolean field; False if absent."""
    found = body.get(name)
    if found is None:
        return False
    if not isinstance(found, bool):
        raise field.FieldError(name, 'must be true or false')
    return found


def _include_usage(body: dict[str, Any]) -> bool:
    """Returns `stream_options.include_usage`."""
    options = body.get('stream_options')
    if options is None:
        return False
    if not isinstance(options, dict):
        raise field.FieldError('stream_options', 'must be an object')
    return _boolean(options, 'include_usage')


def _max_tokens(body: dict[str, Any]) -> int:
    """Returns the caller's bound on generated tokens; 0 if none."""
    for name in ('max_completion_tokens', 'max_tokens'):
        found = body.get(name)
        if found is None:
            continue
        if isinstance(found, bool) or not isinstance(found, int) or found < 1:
            raise field.FieldError(name, 'must be a whole number from 1')
        return found
    return 0


def _check_numbers(body: dict[str, Any]) -> None:
    """Checks the sampling fields."""
    for name, (low, high) in NUMBER_RANGES.items():
        found = body.get(name)
        if found is None:
            continue
        fits = isinstance(found, int | float) and not isinstance(found, bool)
        if not fits or not low <= found <= high:
            raise field.FieldError(
                name, f'must be a number from {low} to {high}'
            )
    seed = body.get('seed')
    if seed is None:
        return
    fits = isinstance(seed, int) and not isinstance(seed, bool)
    if not fits or abs(seed) > MAX_SEED:
        raise field.FieldError('seed', 'must be a whole number of 64 bits')


def _check_stop(body: dict[str, Any]) -> None:
    """Checks the stop sequences."""
    stop = body.get('stop')
    if stop is None or isinstance(stop, str):
        return
    fits = isinstance(stop, list) and len(stop) <= MAX_STOP_SEQUENCES
    if not fits or not all(isinstance(item, str) for item in stop):
        raise field.FieldError(
            'stop',
            f'must be a string or a list of at most {MAX_STOP_SEQUENCES}',
        )
