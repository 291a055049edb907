"""Renders results and errors as JSON responses."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Any

import blacksheep

from quetzalsill_router.admin import error
from quetzalsill_router.http import error as http_error

if TYPE_CHECKING:
    from quetzalsill.error import request as request_error

__all__ = ['Reply', 'render_error', 'render_reply']

_JSON = b'application/json'


@dataclasses.dataclass(slots=True)
class Reply:
    """The result of a successful call.

    Attributes:
      body: JSON data.
      revision: Configuration revision of the body, sent as ETag; None for no
        ETag.
      edit: Id of the accepted edit, sent as X-Edit-Id; empty for reads.
    """

    body: Any
    revision: int | None = None
    edit: str = ''


def _json_response(status: int, body: Any) -> blacksheep.Response:
    content = blacksheep.Content(_JSON, json.dumps(body).encode())
    return blacksheep.Response(status, content=content)


def render_reply(reply: Reply) -> blacksheep.Response:
    """Renders the response to a successful call."""
    resp = _json_response(200, reply.body)
    if reply.revision is not None:
        resp.add_header(b'ETag', b'"%d"' % reply.revision)
    if reply.edit:
        resp.add_header(b'X-Edit-Id', reply.edit.encode())
    return resp


def _error_details(exc: request_error.RequestError) -> dict[str, Any]:
    if isinstance(exc, error.InvalidConfigurationError):
        return {'faults': [dataclasses.asdict(f) for f in exc.faults]}
    if isinstance(exc, error.EditConflictError):
        return {'current_revision': exc.current_revision, 'author': exc.author}
    return {}


def render_error(exc: request_error.RequestError) -> blacksheep.Response:
    """Renders an error in the format of the callers' API."""
    body = json.loads(http_error.document(exc))
    body['error'].update(_error_details(exc))
    resp = _json_response(exc.status, body)
    for name, value in http_error.headers(exc):
        resp.add_header(name, value)
    return resp
