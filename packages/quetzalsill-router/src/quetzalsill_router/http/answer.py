"""Responses to generation requests: JSON documents and event streams."""

from __future__ import annotations

import json
import time
from collections.abc import AsyncIterator, Iterable
from typing import TYPE_CHECKING, Any

import blacksheep

from quetzalsill.error import request as request_error
from quetzalsill_router.http import asgi, error, event_id
from quetzalsill_router.request import piece, spec

if TYPE_CHECKING:
    from quetzalsill_router.request import active

__all__ = [
    'DONE',
    'SSE_TYPE',
    'build_document',
    'complete_response',
    'encode_events',
    'event_stream',
    'event_stream_response',
    'join_events',
]

JSON_TYPE = b'application/json'
SSE_TYPE = b'text/event-stream; charset=utf-8'
KEEP_ALIVE_COMMENT = b': keep-alive\n\n'
MAX_UNDRAINED_BYTES = 16_384
DONE = b'data: [DONE]\n\n'


def encode_events(items: Iterable[bytes]) -> bytes:
    """Encodes JSON items as server-sent events."""
    return b''.join([b'data: %b\n\n' % item for item in items])


async def complete_response(
    running: active.ActiveRequest,
) -> blacksheep.Response:
    """Waits for the complete answer and returns it as one document.

    Raises:
      RequestError: The request failed.
    """
    items: list[bytes] = []
    delivery = running.delivery
    while True:
        await delivery.wait()
        for part in delivery.take():
            if isinstance(part, piece.Items):
                items.extend(part.items)
                part.release()
        if delivery.ended or delivery.disconnected:
            break
    if delivery.error is not None:
        raise delivery.error
    content = blacksheep.Content(JSON_TYPE, build_document(running.work, items))
    return blacksheep.Response(200, None, content)


async def event_stream_response(
    running: active.ActiveRequest,
    drain: asgi.Drain,
    keep_alive_s: float,
    usage: bool,
) -> blacksheep.Response:
    """Returns a response of server-sent events once the first is available.

    A request that fails before its first event and before the first
    keep-alive comment is answered with the HTTP status of its error.

    Raises:
      RequestError: The request failed before its first event.
    """
    delivery = running.delivery
    delivery.watch_idle(keep_alive_s)
    await delivery.wait()
    if delivery.error is not None and running.delivered == 0:
        raise delivery.error

    async def produce() -> AsyncIterator[bytes]:
        async for data in event_stream(running, drain, usage):
            yield data

    content = blacksheep.StreamedContent(SSE_TYPE, produce)
    headers = [(b'cache-control', b'no-cache')]
    return blacksheep.Response(200, headers, content)


async def event_stream(
    running: active.ActiveRequest,
    drain: asgi.Drain,
    usage: bool,
) -> AsyncIterator[bytes]:
    """Yields the encoded event stream, with pending items coalesced.

    Items are released once the caller has received them, so a slow caller
    slows down only its own attempt. Small chunks need no explicit drain: the
    server waits before it accepts the next one.
    """
    delivery = running.delivery
    replace_ids = event_id.make_id_replacer(running.work.request)
    count = 0
    last = b''
    while not delivery.disconnected:
        await delivery.wait()
        is_idle = delivery.idle
        parts = [
            part for part in delivery.take() if isinstance(part, piece.Items)
        ]
        if parts:
            items = [item for part in parts for item in part.items]
            count += len(items)
            last = items[-1]
            data = encode_events(replace_ids(items))
            yield data
            if len(data) > MAX_UNDRAINED_BYTES:
                await drain()
            for part in parts:
                part.release()
        elif delivery.ended:
            break
        elif is_idle:
            yield KEEP_ALIVE_COMMENT
    if delivery.disconnected:
        return
    if delivery.error is not None:
        yield encode_events(
            [error.document(delivery.error, running.work.request)]
        )
        return
    if usage:
        yield encode_events(_usage_event(running.work, last, count))
    yield DONE


def build_document(work: spec.Work, items: list[bytes]) -> bytes:
    """Joins the events of a generation into one document.

    Raises:
      UpstreamFailedError: An event is malformed.
    """
    return join_events(work.request, work.target, work.kind, items)


def join_events(
    request: str, model: str, kind: str, items: list[bytes]
) -> bytes:
    """Joins events into one OpenAI-style response document.

    Args:
      request: Id of the request.
      model: Name of the model.
      kind: `completion` or `chat`.
      items: JSON of each event.

    Raises:
      UpstreamFailedError: An event is malformed.
    """
    chat = kind == spec.CHAT
    try:
        parsed = [json.loads(item) for item in items]
        joined = _chat(parsed) if chat else _text(parsed)
        choice = {
            'index': 0,
            **joined,
            'logprobs': None,
            'finish_reason': _finish_reason(parsed),
        }
    except (ValueError, KeyError, TypeError, IndexError) as exc:
        raise request_error.UpstreamFailedError(
            'the upstream sent an event that can not be read'
        ) from exc
    return json.dumps(
        {
            'id': request,
            'object': 'chat.completion' if chat else 'text_completion',
            'created': int(time.time()),
            'model': model,
            'choices': [choice],
            'usage': _usage(parsed),
        }
    ).encode()


def _text(parsed: list[dict[str, Any]]) -> dict[str, Any]:
    """Concatenates the texts of completion events."""
    return {
        'text': ''.join(
            choice.get('text') or ''
            for event in parsed
            for choice in event['choices']
        )
    }


def _chat(parsed: list[dict[str, Any]]) -> dict[str, Any]:
    """Joins the deltas of chat events into one message."""
    deltas = [
        choice.get('delta') or {}
        for event in parsed
        for choice in event['choices']
    ]
    content = ''.join(delta.get('content') or '' for delta in deltas)
    message = {'role': 'assistant', 'content': content}
    tools = _tool_calls(deltas)
    if tools:
        message['tool_calls'] = tools
    return {'message': message}


def _tool_calls(deltas: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Merges the fragments of tool calls by their index."""
    calls: dict[int, dict[str, Any]] = {}
    for delta in deltas:
        for part in delta.get('tool_calls') or ():
            call = calls.setdefault(
                part['index'],
                {'type': 'function', 'function': {'name': '', 'arguments': ''}},
            )
            call['id'] = part.get('id') or call.get('id')
            for name in ('name', 'arguments'):
                text = (part.get('function') or {}).get(name) or ''
                call['function'][name] += text
    return [calls[index] for index in sorted(calls)]


def _finish_reason(parsed: list[dict[str, Any]]) -> str:
    """Returns the last finish reason in the events; `stop` if none."""
    for event in reversed(parsed):
        for choice in event['choices']:
            if choice.get('finish_reason'):
                return choice['finish_reason']
    return 'stop'


def _usage(parsed: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the usage reported by the upstream, else the event count."""
    if parsed and isinstance(parsed[-1].get('usage'), dict):
        return parsed[-1]['usage']
    return _usage_from_counts(0, len(parsed))


def _usage_from_counts(prompt_tokens: int, count: int) -> dict[str, int]:
    """Builds a usage object from the router's own token counts."""
    return {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': count,
        'total_tokens': prompt_tokens + count,
    }


def _usage_event(work: spec.Work, last: bytes, count: int) -> list[bytes]:
    """Returns the final usage event, unless the upstream sent one."""
    if b'"usage"' in last:
        return []
    chat = work.kind == spec.CHAT
    event = {
        'id': work.request,
        'object': 'chat.completion.chunk' if chat else 'text_completion',
        'created': int(time.time()),
        'model': work.target,
        'choices': [],
        'usage': _usage_from_counts(work.prompt_tokens, count),
    }
    return [json.dumps(event).encode()]
