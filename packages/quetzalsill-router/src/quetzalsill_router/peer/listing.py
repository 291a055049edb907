"""What the host list says of one upstream."""

from __future__ import annotations

__all__ = ['Listing']

LEAVING = 'leaving'


class Listing:
    """The newest word of the host list, which lags.

    Attributes:
      address: IP:PORT of the sidecar; empty if the list does not name it.
    """

    def __init__(self) -> None:
        self.address = ''
        self._state = ''
        self._is_old = False

    @property
    def leaving(self) -> bool:
        """Whether the host that is linked now is listed as leaving."""
        return self._state == LEAVING and not self._is_old

    def take(self, state: str, address: str) -> bool:
        """Takes what the list says now; True if that is news.

        Args:
          state: `live` or `leaving`; empty if it does not name the upstream.
          address: IP:PORT of the sidecar; empty if not named.
        """
        if state != self._state:
            self._is_old = False
        is_news = (state, address) != (self._state, self.address)
        self._state = state
        self.address = address
        return is_news

    def outdate(self) -> None:
        """Notes that another sidecar has been linked just now.

        What was said so far may be said of a host that was replaced since;
        the new one would get no work for as long as the list lags.
        """
        self._is_old = True
