"""Dials one sidecar at its known addresses."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from quetzalsill.wire import error as wire_error
from quetzalsill_router import event

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzalsill.wire import link
    from quetzalsill_router.peer import listing

__all__ = ['Connect', 'Dialer']


Connect = Callable[[str, int], Awaitable['link.Link']]


class Dialer:
    """Opens links to one sidecar, trying its addresses in turn."""

    def __init__(
        self,
        upstream: str,
        address: str,
        host_entry: listing.HostListEntry,
        connect: Connect,
    ) -> None:
        """Initializes the dialer; `dial` connects.

        Args:
          upstream: Name of the upstream.
          address: IP:PORT of the sidecar in the configuration.
          host_entry: The upstream's entry in the host list.
          connect: Dials host and port.
        """
        self._upstream = upstream
        self._address = address
        self._host_entry = host_entry
        self._connect = connect
        self._addresses = self._alternate_addresses()
        self._unreachable = False
        self.handshake_timed_out = False

    async def dial(self) -> link.Link | None:
        """Dials the next address; returns None if that fails."""
        address = next(self._addresses)
        try:
            conn = await self._dial(address)
        except wire_error.WireError as exc:
            self._log_unreachable(address, exc)
            self.handshake_timed_out = isinstance(
                exc, wire_error.HandshakeTimeoutError
            )
            return None
        self._unreachable = False
        return conn

    def _alternate_addresses(self) -> Iterator[str]:
        """Yields the address to dial next.

        After a host is replaced, either the host list or the configuration
        has its new address first, so both are tried in turn.
        """
        while True:
            yield self._address
            if self._host_entry.address not in ('', self._address):
                yield self._host_entry.address

    async def _dial(self, address: str) -> link.Link:
        host, _, port = address.rpartition(':')
        conn = await self._connect(host, int(port))
        # When a host is replaced, its IP address may be reassigned to the
        # host of another upstream.
        if conn.peer.upstream != self._upstream:
            exc = wire_error.ProtocolError(
                f'{address} belongs to {conn.peer.upstream}'
            )
            conn.reject(exc)
            raise exc
        return conn

    def _log_unreachable(self, address: str, exc: wire_error.WireError) -> None:
        """Logs the first failure since the last link, but no later ones."""
        if not self._unreachable:
            event.note(
                event.PeerUnreachable(
                    upstream=self._upstream,
                    address=address,
                    code=exc.code,
                    detail=exc.detail,
                )
            )
        self._unreachable = True
