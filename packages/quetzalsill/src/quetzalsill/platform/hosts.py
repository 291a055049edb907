"""Client of the platform's host list, which may be out of date."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Any

from quetzalsill.platform import error

if TYPE_CHECKING:
    from quetzalsill.platform import exchange

__all__ = ['Host', 'HostKind', 'HostList', 'HostState']


class HostKind(enum.StrEnum):
    """Type of the process that runs on a host."""

    ENTRY = 'entry'
    UPSTREAM = 'upstream'


class HostState(enum.StrEnum):
    """State of a host as reported by the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(slots=True, frozen=True)
class Host:
    """One entry of the list.

    Attributes:
      name: Name of the host; for an upstream host, that of the upstream.
      kind: Entry host or upstream host.
      address: IP:PORT of the router's HTTP listener or of the sidecar.
      availability_zone: Availability zone of the host.
      state: Live or leaving; a dead host is not listed.
    """

    name: str
    kind: HostKind
    address: str
    availability_zone: str
    state: HostState


class HostList:
    """Reads the host list."""

    def __init__(self, http: exchange.Exchange) -> None:
        self._http = http

    async def fetch(self) -> list[Host]:
        """Reads all hosts.

        Raises:
          PlatformUnavailableError: The service does not respond.
          PlatformProtocolError: The response is malformed.
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
