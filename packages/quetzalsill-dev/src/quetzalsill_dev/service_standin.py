"""Stand-in for a plain service: echoes, accepts orders, and injects faults.

`POST /orders` with a JSON body that has an `id` places an order; the audit
reports how often each id was received. Any other call is echoed: its body as
it is streamed in, or a JSON description of the call if it has no body. `GET
/large?bytes=N` streams N bytes. `POST /stand-in` sets the fault injection
options, `GET /stand-in/audit` returns all orders and the newest calls.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import time
from typing import TYPE_CHECKING, Any

import blacksheep
import click
from uvicorn.protocols.http import httptools_impl

from quetzalsill_dev import serve

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ['Service', 'make_app']

JSON = b'application/json'
BINARY = b'application/octet-stream'
TRANSPORT_EXTENSION = 'quetzalsill_dev.transport'
CHUNK_BYTES = 64 * 1024
MAX_CALLS = 20_000


class _Protocol(httptools_impl.HttpToolsProtocol):
    """Passes the connection's transport to the application.

    ASGI offers no way to close a connection without a response, as a service
    does that crashes in the middle of a call.
    """

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.scope['extensions'] = {TRANSPORT_EXTENSION: self.transport}


@dataclasses.dataclass(slots=True)
class Service:
    """Calls that the service received, and its fault injection options.

    Attributes:
      delay_s: Delay between receiving a call and responding, in seconds.
      close_orders: Number of further orders that are accepted but get no
        response: their connection is closed instead.
      orders: How often each order id was received.
      calls: The newest calls, at most MAX_CALLS.
    """

    delay_s: float = 0.0
    close_orders: int = 0
    orders: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    calls: collections.deque[dict[str, Any]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_CALLS)
    )

    def record_call(self, req: blacksheep.Request) -> None:
        """Adds a call to the audit."""
        target = req.url.value.decode()
        call = {'method': req.method, 'target': target, 'at': time.time()}
        self.calls.append(call)

    def audit(self) -> dict[str, Any]:
        """Returns all orders and the newest calls."""
        return {'orders': dict(self.orders), 'calls': list(self.calls)}


def _json_response(value: Any, status: int = 200) -> blacksheep.Response:
    content = blacksheep.Content(JSON, json.dumps(value).encode())
    return blacksheep.Response(status, content=content)


async def _json_object(req: blacksheep.Request) -> dict[str, Any]:
    try:
        value = json.loads(await req.read() or b'')
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


async def _accept_order(
    service: Service, req: blacksheep.Request
) -> blacksheep.Response:
    order_id = (await _json_object(req)).get('id')
    if not isinstance(order_id, str):
        return _json_response({'error': 'an order needs an id'}, 400)
    service.orders[order_id] += 1
    await asyncio.sleep(service.delay_s)
    if service.close_orders > 0:
        service.close_orders -= 1
        req.scope['extensions'][TRANSPORT_EXTENSION].close()
    return _json_response({'id': order_id, 'count': service.orders[order_id]})


def _has_body(req: blacksheep.Request) -> bool:
    length = req.get_first_header(b'content-length') or b'0'
    return length != b'0' or req.headers.contains(b'transfer-encoding')


def _describe(req: blacksheep.Request) -> blacksheep.Response:
    headers = [[n.decode('latin-1'), v.decode('latin-1')]
               for n, v in req.headers.items()]  # fmt: skip
    target = req.url.value.decode()
    return _json_response(
        {'method': req.method, 'target': target, 'headers': headers}
    )


def _echo(req: blacksheep.Request) -> blacksheep.Response:
    async def chunks() -> AsyncIterator[bytes]:
        async for chunk in req.stream():
            # An empty chunk would end the response.
            if chunk:
                yield chunk

    kind = req.get_first_header(b'content-type') or BINARY
    content = blacksheep.StreamedContent(kind, chunks)
    headers = [(b'x-method', req.method.encode()), (b'x-target', req.url.value)]
    return blacksheep.Response(200, headers, content)


def _large(size: int) -> blacksheep.Response:
    async def chunks() -> AsyncIterator[bytes]:
        for start in range(0, size, CHUNK_BYTES):
            yield b'x' * min(CHUNK_BYTES, size - start)

    content = blacksheep.StreamedContent(BINARY, chunks)
    return blacksheep.Response(200, content=content)


def make_app(service: Service) -> blacksheep.Application:
    """Creates the application of one plain service."""
    app = blacksheep.Application(router=blacksheep.Router())
    route = app.router

    @route.post('/orders')
    async def order(request: blacksheep.Request) -> blacksheep.Response:
        service.record_call(request)
        return await _accept_order(service, request)

    @route.get('/large')
    async def large(request: blacksheep.Request) -> blacksheep.Response:
        service.record_call(request)
        return _large(int((request.query.get('bytes') or ['0'])[0]))

    @route.post('/stand-in')
    async def switch(request: blacksheep.Request) -> blacksheep.Response:
        values = await _json_object(request)
        service.delay_s = float(values.get('delay_s', service.delay_s))
        service.close_orders = int(
            values.get('close_orders', service.close_orders)
        )
        return _json_response({})

    @route.get('/stand-in/audit')
    async def audit() -> blacksheep.Response:
        return _json_response(service.audit())

    async def echo(request: blacksheep.Request) -> blacksheep.Response:
        service.record_call(request)
        await asyncio.sleep(service.delay_s)
        return _echo(request) if _has_body(request) else _describe(request)

    route.fallback = echo
    return app


@click.command()
@click.option('--host', default='127.0.0.1')
@click.option('--port', default=0, help='0 selects a free port.')
def main(host: str, port: int) -> None:
    """Runs a stand-in for a plain service until SIGTERM."""
    serve.run(make_app(Service()), host, port, protocol=_Protocol)


if __name__ == '__main__':
    main()
