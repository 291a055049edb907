"""What the host list says of one upstream."""

from __future__ import annotations

__all__ = ['HostListEntry']

LEAVING = 'leaving'


class HostListEntry:
    """The newest word of the host list, which lags.

    Attributes:
      address: IP:PORT of the sidecar; empty if the list does not name it.
    """

    def __init__(self) -> None:
        self.address = ''
        self._state = ''
        self._is_outdated = False

    @property
    def leaving(self) -> bool:
        """Whether the host that is linked now is listed as leaving."""
        return self._state == LEAVING and not self._is_outdated

    def update(self, state: str, address: str) -> bool:
        """Takes what the list says now; True if that is news.

        Args:
          state: `live` or `leaving`; empty if it does not name the upstream.
          address: IP:PORT of the sidecar; empty if not named.
        """
        if state != self._state:
            self._is_outdated = False
        is_changed = (state, address) != (self._state, self.address)
        self._state = state
        self.address = address
        return is_changed

    def mark_outdated(self) -> None:
        """Notes that another sidecar has been linked just now.

        What was said so far may be said of a host that was replaced since;
        the new one would get no work for as long as the list lags.
        """
        self._is_outdated = True
