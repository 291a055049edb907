"""Stand-in of a plain service: echoes, takes orders, and can misbehave.

`POST /orders` with a JSON body that holds an `id` takes an order; the audit
tells how often each id was taken. Any other call is echoed: its body as it
comes, or a JSON description if it has none. `GET /large?bytes=N` streams N
bytes. `POST /stand-in` sets switches, `GET /stand-in/audit` tells all calls.
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
TRANSPORT = 'quetzalsill_dev.transport'
PIECE = 64 * 1024
KEPT_CALLS = 20_000


class _Protocol(httptools_impl.HttpToolsProtocol):
    """Hands the connection's transport to the application.

    An application cannot close a connection without an answer through ASGI,
    which is what a service does that dies in the middle of a call.
    """

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.scope['extensions'] = {TRANSPORT: self.transport}


@dataclasses.dataclass(slots=True)
class Service:
    """What the service did, and how it is to misbehave.

    Attributes:
      delay_s: Time from taking a call to its answer.
      close_orders: So many orders are taken but not answered: their
        connection is closed instead.
      orders: How often each order id was taken.
      calls: Newest calls.
    """

    delay_s: float = 0.0
    close_orders: int = 0
    orders: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    calls: collections.deque[dict[str, Any]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=KEPT_CALLS)
    )

    def note(self, req: blacksheep.Request) -> None:
        """Notes a call in the audit."""
        target = req.url.value.decode()
        call = {'method': req.method, 'target': target, 'at': time.time()}
        self.calls.append(call)

    def audit(self) -> dict[str, Any]:
        """All orders and the newest calls."""
        return {'orders': dict(self.orders), 'calls': list(self.calls)}


def _answer(plain: Any, status: int = 200) -> blacksheep.Response:
    content = blacksheep.Content(JSON, json.dumps(plain).encode())
    return blacksheep.Response(status, content=content)


async def _json_object(req: blacksheep.Request) -> dict[str, Any]:
    try:
        plain = json.loads(await req.read() or b'')
    except ValueError:
        return {}
    return plain if isinstance(plain, dict) else {}


async def _take_order(
    service: Service, req: blacksheep.Request
) -> blacksheep.Response:
    order_id = (await _json_object(req)).get('id')
    if not isinstance(order_id, str):
        return _answer({'error': 'an order needs an id'}, 400)
    service.orders[order_id] += 1
    await asyncio.sleep(service.delay_s)
    if service.close_orders > 0:
        service.close_orders -= 1
        req.scope['extensions'][TRANSPORT].close()
    return _answer({'id': order_id, 'count': service.orders[order_id]})


def _brings_body(req: blacksheep.Request) -> bool:
    length = req.get_first_header(b'content-length') or b'0'
    return length != b'0' or req.headers.contains(b'transfer-encoding')


def _describe(req: blacksheep.Request) -> blacksheep.Response:
    headers = [[n.decode('latin-1'), v.decode('latin-1')]
               for n, v in req.headers.items()]  # fmt: skip
    target = req.url.value.decode()
    return _answer({'method': req.method, 'target': target, 'headers': headers})


def _echo(req: blacksheep.Request) -> blacksheep.Response:
    async def pieces() -> AsyncIterator[bytes]:
        async for piece in req.stream():
            # An empty piece would end the answer.
            if piece:
                yield piece

    kind = req.get_first_header(b'content-type') or BINARY
    content = blacksheep.StreamedContent(kind, pieces)
    headers = [(b'x-method', req.method.encode()), (b'x-target', req.url.value)]
    return blacksheep.Response(200, headers, content)


def _large(size: int) -> blacksheep.Response:
    async def pieces() -> AsyncIterator[bytes]:
        for start in range(0, size, PIECE):
            yield b'x' * min(PIECE, size - start)

    content = blacksheep.StreamedContent(BINARY, pieces)
    return blacksheep.Response(200, content=content)


def make_app(service: Service) -> blacksheep.Application:
    """The application of one plain service."""
    app = blacksheep.Application(router=blacksheep.Router())
    route = app.router

    @route.post('/orders')
    async def order(request: blacksheep.Request) -> blacksheep.Response:
        service.note(request)
        return await _take_order(service, request)

    @route.get('/large')
    async def large(request: blacksheep.Request) -> blacksheep.Response:
        service.note(request)
        return _large(int((request.query.get('bytes') or ['0'])[0]))

    @route.post('/stand-in')
    async def switch(request: blacksheep.Request) -> blacksheep.Response:
        values = await _json_object(request)
        service.delay_s = float(values.get('delay_s', service.delay_s))
        service.close_orders = int(
            values.get('close_orders', service.close_orders)
        )
        return _answer({})

    @route.get('/stand-in/audit')
    async def audit() -> blacksheep.Response:
        return _answer(service.audit())

    async def echo(request: blacksheep.Request) -> blacksheep.Response:
        service.note(request)
        await asyncio.sleep(service.delay_s)
        return _echo(request) if _brings_body(request) else _describe(request)

    route.fallback = echo
    return app


@click.command()
@click.option('--host', default='127.0.0.1')
@click.option('--port', default=0, help='0 lets the kernel choose.')
def main(host: str, port: int) -> None:
    """Runs a stand-in of a plain service until it is told to stop."""
    serve.run(make_app(Service()), host, port, protocol=_Protocol)


if __name__ == '__main__':
    main()
