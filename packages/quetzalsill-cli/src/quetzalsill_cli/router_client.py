"""Client of the administration API of several routers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Any

from quetzalsill.net import client
from quetzalsill.settings import section
from quetzalsill_cli import exchange, failure

if TYPE_CHECKING:
    from quetzalsill_cli import option

__all__ = ['RouterClient', 'connect']

_NO_TOKEN_MESSAGE = (
    'no operator token: give --token-file or set QUETZALSILL_TOKEN'
)
# Statuses of a router that cannot serve the call while another one might.
_TRY_NEXT_STATUSES = frozenset({502, 503})


class RouterClient:
    """Sends calls to the routers in the order of the options.

    Attributes:
      urls: Base URLs of the routers, in order.
    """

    def __init__(
        self,
        options: option.Options,
        sessions: dict[str, client.Session],
    ) -> None:
        self.urls = options.routers
        self._options = options
        self._sessions = sessions

    async def send(self, url: str, call: exchange.Call) -> exchange.Response:
        """Sends a call to one router.

        Raises:
          NotSentError: The router could not be reached.
          ResponseLostError: No complete response arrived.
        """
        options = self._options
        return await exchange.send(
            self._sessions[url], url, options.token, call, options.timeout_s
        )

    async def get(self, path: str) -> Any:
        """Gets a path from the first router that can serve it.

        Raises:
          UnreachableError: No router could serve the call.
          CommandError: A router responded with an error.
        """
        lines = []
        for url in self.urls:
            try:
                resp = await self.send(url, exchange.Call('GET', path))
            except exchange.ExchangeError as exc:
                lines.append(exc.detail)
                continue
            if resp.status not in _TRY_NEXT_STATUSES:
                return require_success(resp)
            reason = failure.from_response(resp.status, resp.body)
            lines.append(f'{url}: {reason.message}')
        raise unreachable_error(lines)

    async def get_from_all(self, path: str) -> list[exchange.Response]:
        """Gets a path from all routers concurrently; omits lost responses."""
        call = exchange.Call('GET', path)
        results = await asyncio.gather(
            *(self.send(url, call) for url in self.urls),
            return_exceptions=True,
        )
        return list(_responses(results))


def _responses(results: list[Any]) -> Any:
    for result in results:
        if isinstance(result, exchange.Response):
            yield result
        elif not isinstance(result, exchange.ExchangeError):
            raise result


def require_success(resp: exchange.Response) -> Any:
    """Returns the body of a 200 response; else raises `CommandError`."""
    if resp.status != 200:
        raise failure.from_response(resp.status, resp.body)
    if not isinstance(resp.body, dict):
        raise failure.CommandError(f'{resp.router} answered with no JSON')
    return resp.body


def unreachable_error(lines: list[str]) -> failure.UnreachableError:
    """Returns the error of a call that no router could serve."""
    return failure.UnreachableError(
        '\n'.join(['no router could serve the call:', *lines]),
        'Name other routers with --router; nothing was changed.',
    )


@contextlib.asynccontextmanager
async def connect(options: option.Options) -> AsyncIterator[RouterClient]:
    """Opens a session for each router and closes the sessions on exit.

    Raises:
      RefusedError: No token was given.
    """
    if not options.token:
        raise failure.RefusedError(_NO_TOKEN_MESSAGE)
    tls = section.Tls(options.certificate, options.key, options.authority)
    async with contextlib.AsyncExitStack() as stack:
        sessions = {
            url: await stack.enter_async_context(
                client.session(url, options.timeout_s, tls)
            )
            for url in options.routers
        }
        yield RouterClient(options, sessions)
