"""Client of the platform's host list, which lags behind the truth."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Any

from quetzalsill.platform import error

if TYPE_CHECKING:
    from quetzalsill.platform import exchange

__all__ = ['Host', 'HostKind', 'HostList', 'HostState']


class HostKind(enum.StrEnum):
    """What runs on a host."""

    ENTRY = 'entry'
    UPSTREAM = 'upstream'


class HostState(enum.StrEnum):
    """What the platform says of a host."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(slots=True, frozen=True)
class Host:
    """One line of the list.

    Attributes:
      name: Of an upstream host, the upstream's name.
      kind: Entry host or upstream host.
      address: IP:PORT of the router's HTTP side or of the sidecar.
      availability_zone: Where the host stands.
      state: Live or leaving; a dead host is missing.
    """

    name: str
    kind: HostKind
    address: str
    availability_zone: str
    state: HostState


class HostList:
    """Reads the list."""

    def __init__(self, http: exchange.Exchange) -> None:
        self._http = http

    async def fetch(self) -> list[Host]:
        """Reads all hosts.

        Raises:
          PlatformUnavailableError: The list does not answer.
          PlatformProtocolError: The answer is malformed.
        """
        reply = await self._http.read('/hosts')
        try:
            return [_host(plain) for plain in reply.json(200)['hosts']]
        except (KeyError, TypeError, ValueError) as exc:
            raise error.PlatformProtocolError(f'host list: {exc}') from exc


def _host(plain: Any) -> Host:
    return Host(
        name=plain['name'],
        kind=HostKind(plain['kind']),
        address=plain['address'],
        availability_zone=plain['availability_zone'],
        state=HostState(plain['state']),
    )
