"""HTTP routes of the stand-in."""

from __future__ import annotations

import dataclasses
import json
import urllib.parse
from typing import TYPE_CHECKING, Any

import blacksheep

from quetzalsill_dev.platform_standin import fault, host, table

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['build']

SWITCH_NAMES = frozenset(
    field.name for field in dataclasses.fields(fault.Switches)
)


def build(part: str, board: host.HostBoard) -> fault.Faults:
    """Builds the application for a part of the platform.

    Args:
      part: `store` (table and objects), `hosts` or `all`.
      board: Host list to serve.
    """
    # Without its own router each application would use the library's global
    # one and respond with the state of the first application.
    app = blacksheep.Application(router=blacksheep.Router())
    faults = fault.Faults(app)
    if part in ('store', 'all'):
        _add_table(app, faults.counts.update)
        _add_objects(app, faults.counts.update)
    if part in ('hosts', 'all'):
        _add_hosts(app, board, faults.counts.update)
    _add_switches(app, faults, board)
    return faults


def _json(value: Any, status: int = 200) -> blacksheep.Response:
    data = json.dumps(value, separators=(',', ':')).encode()
    content = blacksheep.Content(b'application/json', data)
    return blacksheep.Response(status, content=content)


def _query(req: blacksheep.Request, name: str, default: str = '') -> str:
    values = req.query.get(name)
    return values[0] if values else default


def _name(req: blacksheep.Request, name: str) -> str:
    return urllib.parse.unquote(req.route_values[name])


def _add_table(app: blacksheep.Application, count: Callable) -> None:
    rows = table.Rows()

    @app.router.post('/table/transact')
    async def transact(req: blacksheep.Request) -> blacksheep.Response:
        try:
            body = await req.json()
            conditions = [table.Condition(**c) for c in body['conditions']]
            writes = [table.Write(**w) for w in body['writes']]
        except (KeyError, TypeError, ValueError) as exc:
            return _json({'malformed': str(exc)}, 400)
        count(transact=1)
        try:
            versions = rows.transact(conditions, writes)
        except table.ConflictError as exc:
            count(conflict=1)
            current = dataclasses.asdict(
                table.Row(version=exc.version, value=exc.value)
            )
            return _json({'failed': exc.failed} | current, 409)
        count(row_written=len(writes))
        count(f'row_written:{write.table}' for write in writes)
        return _json({'versions': versions})

    @app.router.get('/table/{name}/{path:key}')
    async def get(req: blacksheep.Request) -> blacksheep.Response:
        count(row_get=1)
        row = rows.get(_name(req, 'name'), _name(req, 'key'))
        if row is None:
            return _json({}, 404)
        return _json(dataclasses.asdict(row))

    @app.router.get('/table/{name}')
    async def scan(req: blacksheep.Request) -> blacksheep.Response:
        count(scan=1)
        found = rows.scan(
            _name(req, 'name'),
            _query(req, 'prefix'),
            _query(req, 'after'),
            int(_query(req, 'limit', str(table.DEFAULT_LIMIT))),
        )
        return _json({'rows': [dataclasses.asdict(row) for row in found]})


def _add_objects(app: blacksheep.Application, count: Callable) -> None:
    objects: dict[str, bytes] = {}

    @app.router.put('/objects/{path:key}')
    async def put(req: blacksheep.Request) -> blacksheep.Response:
        count(object_put=1)
        key = _name(req, 'key')
        if req.get_first_header(b'if-none-match') and key in objects:
            return _json({}, 412)
        objects[key] = await req.read() or b''
        return _json({})

    @app.router.get('/objects/{path:key}')
    async def get(req: blacksheep.Request) -> blacksheep.Response:
        count(object_get=1)
        data = objects.get(_name(req, 'key'))
        if data is None:
            return _json({}, 404)
        content = blacksheep.Content(b'application/octet-stream', data)
        return blacksheep.Response(200, content=content)

    @app.router.delete('/objects/{path:key}')
    async def delete(req: blacksheep.Request) -> blacksheep.Response:
        count(object_delete=1)
        objects.pop(_name(req, 'key'), None)
        return _json({})

    @app.router.get('/objects')
    async def list_keys(req: blacksheep.Request) -> blacksheep.Response:
        count(object_list=1)
        prefix = _query(req, 'prefix')
        keys = sorted(key for key in objects if key.startswith(prefix))
        return _json({'keys': keys})


def _add_hosts(
    app: blacksheep.Application, board: host.HostBoard, count: Callable
) -> None:
    @app.router.get('/hosts')
    async def hosts() -> blacksheep.Response:
        count(hosts=1)
        return _json({'hosts': board.seen()})


def _add_switches(
    app: blacksheep.Application, faults: fault.Faults, board: host.HostBoard
) -> None:
    @app.router.post('/stand-in')
    async def switch(req: blacksheep.Request) -> blacksheep.Response:
        body = await req.json()
        hosts = body.pop('hosts', None)
        unknown = sorted(body.keys() - SWITCH_NAMES)
        if unknown:
            return _json({'unknown': unknown}, 400)
        for name, value in body.items():
            setattr(faults.switches, name, value)
        if body.get('mute_open'):
            faults.mute_open()
        if hosts is not None:
            board.set(hosts, faults.switches.lag_s)
        return _json(dataclasses.asdict(faults.switches))

    @app.router.get('/stand-in/counts')
    async def counts() -> blacksheep.Response:
        return _json(dict(faults.counts))
