"""Entry of the host list for one upstream."""

from __future__ import annotations

__all__ = ['HostListEntry']

LEAVING = 'leaving'


class HostListEntry:
    """The latest entry of the host list, which may lag behind.

    Attributes:
      address: IP:PORT of the sidecar; empty if it is not listed.
    """

    def __init__(self) -> None:
        self.address = ''
        self._state = ''
        self._is_outdated = False

    @property
    def leaving(self) -> bool:
        """Whether the currently linked host is listed as leaving."""
        return self._state == LEAVING and not self._is_outdated

    def update(self, state: str, address: str) -> bool:
        """Updates the entry; returns whether it has changed.

        Args:
          state: `live` or `leaving`; empty if the upstream is not listed.
          address: IP:PORT of the sidecar; empty if it is not listed.
        """
        if state != self._state:
            self._is_outdated = False
        is_changed = (state, address) != (self._state, self.address)
        self._state = state
        self.address = address
        return is_changed

    def mark_outdated(self) -> None:
        """Marks the state as outdated when a different sidecar is linked.

        The state may be that of a host that was replaced since. If it were
        used, the new host would get no work until the list is updated.
        """
        self._is_outdated = True
