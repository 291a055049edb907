"""The listening socket for callers, opened before the program is loaded.

Loading the program takes a few tenths of a second. Until it listens, the
kernel refuses connections, and a caller whose other tries have failed, or who
may not repeat its request, gives up: after a loss of power of all hosts this
met every caller of that time. With the socket open, connections wait in the
kernel's queue until the program takes them.

Only modules that load quickly are imported here.
"""

from __future__ import annotations

import contextlib
import json
import pathlib
import socket
from typing import Any

__all__ = ['BACKLOG', 'open_early', 'take']

# Connections that wait while the program loads: half a second of those of a
# busy entry host.
BACKLOG = 1024

# What reading settings of an unexpected shape, or a taken address, raises.
SETTINGS_ERRORS = (OSError, ValueError, LookupError, TypeError, AttributeError)

_opened: dict[tuple[str, int], socket.socket] = {}


def open_early(path: str) -> None:
    """Opens the socket that the settings of a gateway name.

    Settings that cannot be read, or that name an address which cannot be
    opened, are left to the start of the program, whose errors say what to
    mend.
    """
    with contextlib.suppress(*SETTINGS_ERRORS):
        settings = _parse(pathlib.Path(path).read_text(encoding='utf-8'))
        host, _, port = settings['listen'].rpartition(':')
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
        _opened[host, int(port)] = sock


def _parse(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        # It has comments. What reads them is slow to load, and slow itself.
        import json5

        return json5.loads(text)


def take(host: str, port: int) -> socket.socket | None:
    """Returns the socket that was opened for an address, once."""
    return _opened.pop((host, port), None)
