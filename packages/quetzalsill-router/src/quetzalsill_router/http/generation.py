"""Validates the JSON body of generation requests."""

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
FIELDS_NOT_FORWARDED = (
    'n',
    'max_completion_tokens',
    'stream_options',
    'request_id',
    'priority',
)
MAX_SEED = 2**63 - 1


@dataclasses.dataclass(slots=True)
class Generation:
    """A validated generation request.

    Attributes:
      kind: `completion` or `chat`.
      model: Model name.
      adapter: Name of the adapter; empty for none.
      stream: Whether to stream the answer.
      include_usage: Whether to end the stream with a usage event.
      max_tokens: Caller's limit on generated tokens; 0 if none.
      prompt_tokens: Estimated length of the prompt in tokens.
      prefix: Digest of the prompt prefix; empty for a short prompt.
      prompt: The prompt, or the concatenated messages of a chat.
      body: The complete JSON object.
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
        """Encodes the body for the engine."""
        body = self.body | {'max_tokens': max_tokens, 'stream': True}
        if self.kind == spec.COMPLETION:
            body['prompt'] = self.prompt
        for name in FIELDS_NOT_FORWARDED:
            body.pop(name, None)
        return json.dumps(body, separators=(',', ':')).encode()


def parse(kind: str, body: dict[str, Any]) -> Generation:
    """Validates the body of a completion or chat request.

    Raises:
      FieldError: A field is missing or invalid.
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
    """Returns the digest of the prompt prefix; empty for a short prompt."""
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
    """Returns the concatenated messages of a chat."""
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        raise field.FieldError('messages', 'must be a list of messages')
    if len(messages) > MAX_MESSAGES:
        raise field.FieldError('messages', f'more than {MAX_MESSAGES}')
    return '\n'.join(
        _message(f'messages[{index}]', item)
        for index, item in enumerate(messages)
    )


def _message(path: str, item: Any) -> str:
    """Returns one message of a chat as text."""
    if not isinstance(item, dict):
        raise field.FieldError(path, 'must be an object')
    role = item.get('role')
    if role not in ROLES:
        raise field.FieldError(
            f'{path}.role', f'must be one of {", ".join(ROLES)}'
        )
    content = item.get('content')
    if isinstance(content, str):
        return f'{role}: {content}'
    if isinstance(content, list):
        return f'{role}: {json.dumps(content)}'
    if content is None and role == 'assistant':
        return f'{role}:'
    raise field.FieldError(f'{path}.content', 'must be a string or a list')


def _string(body: dict[str, Any], name: str, required: bool = False) -> str:
    """Returns a string field; empty if it is optional and absent."""
    value = body.get(name)
    if value is None and not required:
        return ''
    if not isinstance(value, str) or not value or len(value) > 256:
        raise field.FieldError(name, 'must be a string of 1 to 256 characters')
    return value


def _boolean(body: dict[str, Any], name: str) -> bool:
    """Returns a boolean field; False if absent."""
    value = body.get(name)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise field.FieldError(name, 'must be true or false')
    return value


def _include_usage(body: dict[str, Any]) -> bool:
    """Returns `stream_options.include_usage`."""
    options = body.get('stream_options')
    if options is None:
        return False
    if not isinstance(options, dict):
        raise field.FieldError('stream_options', 'must be an object')
    return _boolean(options, 'include_usage')


def _max_tokens(body: dict[str, Any]) -> int:
    """Returns the caller's limit on generated tokens; 0 if none."""
    for name in ('max_completion_tokens', 'max_tokens'):
        value = body.get(name)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int) or value < 1:
            raise field.FieldError(name, 'must be a whole number from 1')
        return value
    return 0


def _check_numbers(body: dict[str, Any]) -> None:
    """Validates the sampling fields."""
    for name, (low, high) in NUMBER_RANGES.items():
        value = body.get(name)
        if value is None:
            continue
        is_valid = isinstance(value, int | float) and not isinstance(
            value, bool
        )
        if not is_valid or not low <= value <= high:
            raise field.FieldError(
                name, f'must be a number from {low} to {high}'
            )
    seed = body.get('seed')
    if seed is None:
        return
    is_valid = isinstance(seed, int) and not isinstance(seed, bool)
    if not is_valid or abs(seed) > MAX_SEED:
        raise field.FieldError('seed', 'must be a whole number of 64 bits')


def _check_stop(body: dict[str, Any]) -> None:
    """Validates the stop sequences."""
    stop = body.get('stop')
    if stop is None or isinstance(stop, str):
        return
    is_valid = isinstance(stop, list) and len(stop) <= MAX_STOP_SEQUENCES
    if not is_valid or not all(isinstance(item, str) for item in stop):
        raise field.FieldError(
            'stop',
            f'must be a string or a list of at most {MAX_STOP_SEQUENCES}',
        )
