"""Calls of the administration API: parameters, access, error handling."""

from __future__ import annotations

import dataclasses
import re
import uuid
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

# BlackSheep resolves the annotations of handlers at startup.
import blacksheep  # noqa: TC002

from quetzalsill.error import base
from quetzalsill.error import request as request_error
from quetzalsill.platform import error as platform_error
from quetzalsill.schema import error as schema_error
from quetzalsill.telemetry import log, metric
from quetzalsill_router.admin import access, edit, error, response, validation
from quetzalsill_router.http import body as http_body

if TYPE_CHECKING:
    from quetzalsill_router.admin import context as admin_context

__all__ = ['Call', 'Handler', 'endpoint']

_LOG = log.get(__name__)
_CALLS_TOTAL = metric.counter(
    'quetzalsill_router_admin_calls_total',
    'Calls of the administration API, by code.',
)
_RETRY_AFTER_S = 2.0
_EDIT_ID_PATTERN = re.compile(r'[A-Za-z0-9._-]{1,64}')
_REVISION_PATTERN = re.compile(r'(?:W/)?"?(\d{1,18})"?')
_MAX_NOTE_CHARS = 200


@dataclasses.dataclass(slots=True)
class Call:
    """An authorized request, as passed to a handler.

    Attributes:
      context: The router that serves the API.
      operator: The authenticated caller.
      req: The HTTP request.
    """

    context: admin_context.AdminContext
    operator: access.Operator
    req: blacksheep.Request

    def route_name(self) -> str:
        """Returns the `:name` parameter of the route."""
        return self.req.route_values['name']

    def query_text(self, key: str) -> str:
        """Returns the last value of a query key; empty if there is none."""
        values = self.req.query.get(key)
        return values[-1] if values else ''

    def query_int(self, key: str, default: int, maximum: int) -> int:
        """Returns an integer of the query.

        Raises:
          BadRequestError: It is not an integer from 0 to `maximum`.
        """
        text = self.query_text(key)
        if not text:
            return default
        if not re.fullmatch(r'[0-9]{1,18}', text) or int(text) > maximum:
            raise request_error.BadRequestError(
                f'{key} must be a number in 0 to {maximum}'
            )
        return int(text)

    def read_edit(self) -> edit.Edit:
        """Reads the edit headers that every write request carries.

        Raises:
          MissingPreconditionError: The request has no expected revision.
          BadRequestError: A header is malformed.
        """
        return edit.Edit(
            id=self._edit_id(),
            author=self.operator.name,
            note=self._header('x-edit-note')[:_MAX_NOTE_CHARS],
            expected_revision=self._expected_revision(),
        )

    def _header(self, name: str) -> str:
        value = self.req.get_first_header(name.encode()) or b''
        return value.decode('utf-8', 'replace').strip()

    def _edit_id(self) -> str:
        text = self._header('x-edit-id') or uuid.uuid4().hex
        if not _EDIT_ID_PATTERN.fullmatch(text):
            raise request_error.BadRequestError(
                f'X-Edit-Id must match {_EDIT_ID_PATTERN.pattern}'
            )
        return text

    def _expected_revision(self) -> int:
        text = self._header('if-match') or self.query_text('expected_revision')
        if not text:
            raise error.MissingPreconditionError('no expected revision')
        match = _REVISION_PATTERN.fullmatch(text)
        if match is None:
            raise request_error.BadRequestError(
                'If-Match must be a revision number'
            )
        return int(match[1])


Handler = Callable[[Call], Awaitable[response.Reply]]


def endpoint(
    context: admin_context.AdminContext,
    role: access.Role,
    handler: Handler,
) -> Callable[[blacksheep.Request], Awaitable[blacksheep.Response]]:
    """Wraps a handler with authorization and JSON error responses."""

    async def call_handler(req: blacksheep.Request) -> response.Reply:
        operator = access.authenticate(context, req)
        access.require_role(operator, role)
        return await handler(Call(context, operator, req))

    async def serve(req: blacksheep.Request) -> blacksheep.Response:
        try:
            reply = await call_handler(req)
            _CALLS_TOTAL.inc({'code': 'ok'})
            return response.render_reply(reply)
        except request_error.RequestError as exc:
            failure = exc
        except platform_error.PlatformError as exc:
            failure = request_error.StoreUnavailableError(
                exc.detail, retry_after_s=_RETRY_AFTER_S
            )
        except schema_error.InvalidDocumentError as exc:
            failure = error.InvalidConfigurationError(
                list(validation.collect_faults(exc))
            )
        except http_body.CallerDisconnectedError:
            raise
        except Exception:
            # An internal error fails only this request, not the connection,
            # and is logged with its traceback.
            _LOG.exception('admin_call_failed', path=req.path)
            failure = request_error.RequestError(
                'internal error', ran=base.Ran.UNKNOWN
            )
        _CALLS_TOTAL.inc({'code': failure.code})
        _LOG.info(
            'admin_call_refused',
            method=req.method,
            path=req.path,
            code=failure.code,
            detail=failure.detail,
        )
        return response.render_error(failure)

    return serve
