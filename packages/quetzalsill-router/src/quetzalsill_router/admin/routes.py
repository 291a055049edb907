"""Routes of the administration API."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error
from quetzalsill_router.admin import (
    access,
    call,
    fleet,
    read,
    request_control,
    response,
    write,
)

if TYPE_CHECKING:
    import blacksheep

    from quetzalsill_router.admin import context as admin_context

__all__ = ['PREFIX', 'mount']

PREFIX = '/admin/v1'
_SECTIONS = (
    'profiles',
    'upstreams',
    'accounts',
    'models',
    'services',
    'operators',
)
_METHODS = ('GET', 'PUT', 'POST', 'DELETE')


@dataclasses.dataclass(slots=True)
class _Endpoint:
    method: str
    path: str
    handler: call.Handler

    @property
    def role(self) -> access.Role:
        """The required role: writes need `operator`, reads any role."""
        if self.method == 'GET':
            return access.Role.VIEWER
        return access.Role.OPERATOR


def _section(name: str) -> Iterator[_Endpoint]:
    yield _Endpoint('GET', f'/{name}', read.section(name))
    yield _Endpoint('GET', f'/{name}/:name', read.entry(name))
    yield _Endpoint('PUT', f'/{name}/:name', write.put_entry(name))
    yield _Endpoint('DELETE', f'/{name}/:name', write.remove_entry(name))


def _endpoints() -> Iterator[_Endpoint]:
    yield _Endpoint('GET', '/config', read.configuration)
    yield _Endpoint('PUT', '/config', write.configuration)
    yield _Endpoint('GET', '/history', read.history)
    yield _Endpoint('GET', '/diff', read.diff)
    for name in _SECTIONS:
        yield from _section(name)
    yield _Endpoint('GET', '/accounts/:name/limits', read.limits)
    yield _Endpoint('PUT', '/accounts/:name/limits', write.limits)
    yield _Endpoint('GET', '/policies', read.section('policies'))
    yield _Endpoint('PUT', '/policies', write.policies)
    yield _Endpoint('POST', '/upstreams/:name/drain', write.drain(True))
    yield _Endpoint('POST', '/upstreams/:name/undrain', write.drain(False))
    yield _Endpoint('GET', '/nodes', fleet.nodes)
    yield _Endpoint('GET', '/status', fleet.status)
    yield _Endpoint('GET', '/requests/:name', request_control.show)
    yield _Endpoint('DELETE', '/requests/:name', request_control.cancel)


async def _not_found(served: call.Call) -> response.Reply:
    raise request_error.NotFoundError(
        f'no {served.req.method} {served.req.path}',
        advice='docs/API.md lists the calls.',
    )


def mount(
    app: blacksheep.Application, context: admin_context.AdminContext
) -> None:
    """Adds all routes below `/admin/v1` to the application."""
    for entry in _endpoints():
        served = call.endpoint(context, entry.role, entry.handler)
        app.router.add(entry.method, f'{PREFIX}{entry.path}', served)
    not_found = call.endpoint(context, access.Role.VIEWER, _not_found)
    for method in _METHODS:
        app.router.add(method, f'{PREFIX}/*', not_found)
