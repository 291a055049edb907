"""The listening socket for callers, opened before the program is imported.

Importing the program takes a few tenths of a second. Until it listens, the
kernel refuses connections, and callers that have no other gateway to try, or
may not retry, fail; after a power loss of all hosts these are all callers.
With the socket open, connections wait in the listen queue instead.

This module imports only what loads quickly.
"""

from __future__ import annotations

import contextlib
import json
import pathlib
import socket
from typing import Any

__all__ = ['BACKLOG', 'bind', 'open_early', 'take']

# Length of the listen queue: half a second's connections of a busy host.
BACKLOG = 1024

# Raised by settings of an unexpected structure and by addresses in use.
SETTINGS_ERRORS = (OSError, ValueError, LookupError, TypeError, AttributeError)

_opened: dict[tuple[str, int], socket.socket] = {}


def open_early(path: str) -> None:
    """Opens the listening socket given in the settings of a gateway.

    Unreadable settings and addresses that cannot be bound are ignored here;
    the program reports them with a helpful message when it starts.
    """
    with contextlib.suppress(*SETTINGS_ERRORS):
        settings = _parse(pathlib.Path(path).read_text(encoding='utf-8'))
        host, _, port = settings['listen'].rpartition(':')
        sock = bind(host, int(port))
        sock.listen(BACKLOG)
        _opened[host, int(port)] = sock


def bind(host: str, port: int) -> socket.socket:
    """Returns a socket that is bound to an address and does not listen yet.

    Raises:
      OSError: The address cannot be bound.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock


def _parse(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        # Settings with comments need json5, which is slow to import and to run.
        import json5

        return json5.loads(text)


def take(host: str, port: int) -> socket.socket | None:
    """Returns, once, the socket that was opened early for an address."""
    return _opened.pop((host, port), None)
