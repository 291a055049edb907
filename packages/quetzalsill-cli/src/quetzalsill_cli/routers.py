"""The routers that a command may ask, one after the other or each."""

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

__all__ = ['Routers', 'connect']

_NO_TOKEN = 'no operator token: give --token-file or set QUETZALSILL_TOKEN'
# Statuses by which a router says that it cannot serve, while another might.
_TRY_NEXT = frozenset({502, 503})


class Routers:
    """Asks routers in the order of the options.

    Attributes:
      urls: Base URLs, in order.
    """

    def __init__(
        self,
        options: option.Options,
        sessions: dict[str, client.Session],
    ) -> None:
        self.urls = options.routers
        self._options = options
        self._sessions = sessions

    async def ask(self, url: str, call: exchange.Call) -> exchange.Answer:
        """Asks one router.

        Raises:
          NotSentError: It could not be reached.
          AnswerLostError: It did not answer.
        """
        options = self._options
        return await exchange.perform(
            self._sessions[url], url, options.token, call, options.timeout_s
        )

    async def read(self, path: str) -> Any:
        """Reads from the first router that can serve the call.

        Raises:
          UnreachableError: None could.
          CommandError: A router answered with a failure.
        """
        lines = []
        for url in self.urls:
            try:
                answer = await self.ask(url, exchange.Call('GET', path))
            except exchange.ExchangeError as exc:
                lines.append(exc.detail)
                continue
            if answer.status not in _TRY_NEXT:
                return accepted(answer)
            reason = failure.from_answer(answer.status, answer.body)
            lines.append(f'{url}: {reason.message}')
        raise unreachable(lines)

    async def read_each(self, path: str) -> list[exchange.Answer]:
        """Reads from all routers at once; gives the answers that came."""
        call = exchange.Call('GET', path)
        results = await asyncio.gather(
            *(self.ask(url, call) for url in self.urls),
            return_exceptions=True,
        )
        return list(_answers(results))


def _answers(results: list[Any]) -> Any:
    for result in results:
        if isinstance(result, exchange.Answer):
            yield result
        elif not isinstance(result, exchange.ExchangeError):
            raise result


def accepted(answer: exchange.Answer) -> Any:
    """Gives the body of a good answer; raises `CommandError` otherwise."""
    if answer.status != 200:
        raise failure.from_answer(answer.status, answer.body)
    if not isinstance(answer.body, dict):
        raise failure.CommandError(f'{answer.router} answered with no JSON')
    return answer.body


def unreachable(lines: list[str]) -> failure.UnreachableError:
    """Makes the failure of a call that no router could serve."""
    return failure.UnreachableError(
        '\n'.join(['no router could serve the call:', *lines]),
        'Name other routers with --router; nothing was changed.',
    )


@contextlib.asynccontextmanager
async def connect(options: option.Options) -> AsyncIterator[Routers]:
    """Opens a session for each router and closes them at the end.

    Raises:
      RefusedError: No token was given.
    """
    if not options.token:
        raise failure.RefusedError(_NO_TOKEN)
    tls = section.Tls(options.certificate, options.key, options.authority)
    async with contextlib.AsyncExitStack() as stack:
        sessions = {
            url: await stack.enter_async_context(
                client.session(url, options.timeout_s, tls)
            )
            for url in options.routers
        }
        yield Routers(options, sessions)
