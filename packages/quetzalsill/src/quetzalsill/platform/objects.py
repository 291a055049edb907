"""Client of the platform's object store."""

from __future__ import annotations

import urllib.parse

from blacksheep import contents

from quetzalsill.platform import error, exchange

__all__ = ['Objects']

CREATE_ONLY = (b'if-none-match', b'*')


class Objects:
    """Reads and writes complete objects."""

    def __init__(self, http: exchange.Exchange) -> None:
        self._http = http

    async def put(
        self, key: str, data: bytes, create_only: bool = False
    ) -> None:
        """Writes an object; writing the same data again is harmless.

        Raises:
          ObjectExistsError: `create_only` is set and the key exists.
          PlatformUnavailableError: Nothing was written.
          PlatformAnswerLostError: It may have been written or may be later.
          PlatformProtocolError: The store rejected the object.
        """
        content = contents.Content(b'application/octet-stream', data)
        headers = (CREATE_ONLY,) if create_only else ()
        reply = await self._http.write('PUT', _path(key), content, headers)
        if reply.status == 412:
            raise error.ObjectExistsError(key)
        _check_written(reply)

    async def get(self, key: str) -> bytes | None:
        """Reads an object; None if it is absent.

        Raises:
          PlatformUnavailableError: The store does not respond.
          PlatformProtocolError: The response is malformed.
        """
        reply = await self._http.read(_path(key))
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise error.PlatformProtocolError(f'status {reply.status}')
        return reply.body

    async def delete(self, key: str) -> None:
        """Deletes an object; does nothing if it is absent.

        Raises:
          PlatformUnavailableError: Nothing was deleted.
          PlatformAnswerLostError: It may have been deleted or may be later.
          PlatformProtocolError: The store rejected the call.
        """
        reply = await self._http.write('DELETE', _path(key))
        if reply.status != 404:
            _check_written(reply)

    async def list(self, prefix: str) -> list[str]:
        """Reads the keys that start with `prefix`, in order.

        Raises:
          PlatformUnavailableError: The store does not respond.
          PlatformProtocolError: The response is malformed.
        """
        query = urllib.parse.urlencode({'prefix': prefix})
        reply = await self._http.read(f'/objects?{query}')
        try:
            return list(reply.json(200)['keys'])
        except (KeyError, TypeError) as exc:
            raise error.PlatformProtocolError('answer lacks keys') from exc


def _path(key: str) -> str:
    return f'/objects/{exchange.quote(key)}'


def _check_written(reply: exchange.Reply) -> None:
    if reply.status // 100 != 2:
        raise error.PlatformProtocolError(f'status {reply.status}')
