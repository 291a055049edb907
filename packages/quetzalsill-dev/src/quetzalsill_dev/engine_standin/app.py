"""HTTP interface of the engine stand-in."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import blacksheep

from quetzalsill_dev.engine_standin import (
    completion,
    engine,
    generation,
    model,
    orders,
    switches,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ['make_app']

EVENT_STREAM = b'text/event-stream'
JSON = b'application/json'

_ERRORS = (
    (engine.DuplicateRequestError, 409, 'duplicate_request'),
    (engine.ForbiddenRequestError, 409, 'forbidden'),
    (engine.ModelNotLoadedError, 404, 'model_not_loaded'),
    (model.PromptTooLongError, 400, 'prompt_too_long'),
    (completion.InvalidRequestError, 400, 'invalid_request'),
    (switches.UnknownSwitchError, 400, 'unknown_switch'),
    (orders.StaleFenceError, 409, 'stale_fence'),
)


def _json_response(value: Any, status: int = 200) -> blacksheep.Response:
    content = blacksheep.Content(JSON, json.dumps(value).encode())
    return blacksheep.Response(status, content=content)


def _error_response(exc: Exception) -> blacksheep.Response:
    for kind, status, code in _ERRORS:
        if isinstance(exc, kind):
            error = {'code': code, 'message': str(exc)}
            return _json_response({'error': error}, status)
    raise exc


async def _json(req: blacksheep.Request) -> dict[str, Any]:
    try:
        body = json.loads(await req.read() or b'')
    except ValueError as exc:
        raise completion.InvalidRequestError('not JSON') from exc
    if not isinstance(body, dict):
        raise completion.InvalidRequestError('the body is not an object')
    return body


def _stream(found: generation.Generation, start: int) -> blacksheep.Response:
    async def events() -> AsyncIterator[bytes]:
        async for data in found.read(start):
            yield data
        if found.state is generation.State.FINISHED:
            yield completion.DONE
        else:
            yield completion.error_event(found.state)

    content = blacksheep.StreamedContent(EVENT_STREAM, events)
    return blacksheep.Response(200, content=content)


async def _complete(
    served: engine.Engine, req: blacksheep.Request, chat: bool
) -> blacksheep.Response:
    parsed = completion.parse(await _json(req), chat)
    started = served.start(parsed)
    if parsed.stream:
        return _stream(started, 0)
    async for _ in started.read(0):
        pass
    if started.state is not generation.State.FINISHED:
        return _json_response({'error': {'code': started.state}}, 409)
    return _json_response(
        completion.build_response(
            parsed,
            started.number,
            len(started.events),
            started.finish_reason,
        )
    )


async def _execute_order(
    served: engine.Engine, req: blacksheep.Request
) -> blacksheep.Response:
    body = await _json(req)
    if body.get('kind') not in orders.KINDS:
        raise completion.InvalidRequestError('kind')
    name, fence = body.get('name'), body.get('fence', 0)
    if not isinstance(name, str) or type(fence) is not int:
        raise completion.InvalidRequestError('name or fence')
    await served.orders.carry_out(orders.Order(body['kind'], name, fence))
    return _json_response({'done': True})


def make_app(served: engine.Engine) -> blacksheep.Application:
    """Returns the application of an engine and runs the engine with it."""
    app = blacksheep.Application(router=blacksheep.Router())
    tasks: list[asyncio.Task[None]] = []

    @app.on_start
    async def start(_: blacksheep.Application) -> None:
        tasks.append(asyncio.create_task(served.run()))

    @app.on_stop
    async def stop(_: blacksheep.Application) -> None:
        for task in tasks:
            task.cancel()

    for kind, _, _ in _ERRORS:
        app.exceptions_handlers[kind] = _handle_error
    _add_generation_routes(app, served)
    _add_state_routes(app, served)
    return app


async def _handle_error(
    app: blacksheep.Application, req: blacksheep.Request, exc: Exception
) -> blacksheep.Response:
    return _error_response(exc)


def _add_generation_routes(
    app: blacksheep.Application, served: engine.Engine
) -> None:
    route = app.router

    @route.post('/v1/completions')
    async def complete(request: blacksheep.Request) -> blacksheep.Response:
        return await _complete(served, request, chat=False)

    @route.post('/v1/chat/completions')
    async def chat(request: blacksheep.Request) -> blacksheep.Response:
        return await _complete(served, request, chat=True)

    @route.post('/v1/requests/{request_id}/cancel')
    async def cancel(request: blacksheep.Request) -> blacksheep.Response:
        request_id = request.route_values['request_id']
        return _json_response({'state': served.cancel(request_id)})

    @route.get('/v1/requests/{request_id}/stream')
    async def resume(request: blacksheep.Request) -> blacksheep.Response:
        found = served.get(request.route_values['request_id'])
        if found is None:
            return _json_response({'incarnation': served.incarnation}, 404)
        return _stream(found, _query_int(request, 'from'))


def _add_state_routes(
    app: blacksheep.Application, served: engine.Engine
) -> None:
    route = app.router

    @route.get('/load')
    async def load() -> blacksheep.Response:
        return _json_response(served.load())

    @route.get('/cache-events')
    async def cache_events(request: blacksheep.Request) -> blacksheep.Response:
        since = _query_int(request, 'since')
        return _json_response({'events': served.cache_log.since(since)})

    @route.post('/orders')
    async def order(request: blacksheep.Request) -> blacksheep.Response:
        return await _execute_order(served, request)

    @route.post('/stand-in')
    async def set_switches(request: blacksheep.Request) -> blacksheep.Response:
        served.set_switches(await _json(request))
        return _json_response({})

    @route.get('/stand-in/audit')
    async def audit() -> blacksheep.Response:
        return _json_response(served.audit())


def _query_int(req: blacksheep.Request, name: str) -> int:
    values = req.query.get(name) or ['0']
    if not values[0].isdecimal():
        raise completion.InvalidRequestError(name)
    return int(values[0])
