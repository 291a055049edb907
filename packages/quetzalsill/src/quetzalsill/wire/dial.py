"""Opens links to sidecars."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill.net import deadline
from quetzalsill.wire import error, frame, handshake, link

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

    from quetzalsill.settings import section
    from quetzalsill.wire import message

__all__ = ['dial']


async def dial(
    host: str,
    port: int,
    hello: message.Hello,
    timing: section.LinkTiming,
    tls: ssl.SSLContext | None = None,
    *,
    revision: Callable[[], int] | None = None,
    on_revision: Callable[[int], None] | None = None,
    heartbeat_factor: Callable[[], float] | None = None,
) -> link.Link:
    """Connects and completes the handshake within `timing.connect_s`.

    Args:
      host: IP address of the sidecar.
      port: Its port.
      hello: Hello message to send.
      timing: Timeouts of the link.
      tls: Context of an encrypted link; None for a plaintext one.
      revision: Returns the current local revision for heartbeats; that of
        the Hello if None.
      on_revision: Called with each revision received in a heartbeat.
      heartbeat_factor: Factor of the time to the first heartbeat; see
        `link.Link`.

    Raises:
      error.DialError: The connection could not be opened.
      error.HandshakeTimeoutError: The peer did not respond in time.
      error.RejectedError: The peer rejected the link.
      error.WireError: The peer violated the protocol.
    """
    try:
        async with deadline.timeout(timing.connect_s):
            reader, writer = await asyncio.open_connection(host, port, ssl=tls)
            try:
                return await _perform_handshake(
                    reader,
                    writer,
                    hello,
                    timing,
                    revision,
                    on_revision,
                    heartbeat_factor,
                )
            except BaseException:
                writer.transport.abort()
                raise
    except TimeoutError as exc:
        raise error.HandshakeTimeoutError(
            f'{host}:{port} took longer than {timing.connect_s} s'
        ) from exc
    except OSError as exc:
        raise error.DialError(f'{host}:{port}: {exc}') from exc


async def _perform_handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    hello: message.Hello,
    timing: section.LinkTiming,
    revision: Callable[[], int] | None,
    on_revision: Callable[[int], None] | None,
    heartbeat_factor: Callable[[], float] | None,
) -> link.Link:
    handshake.write_first(writer, hello)
    splitter = frame.Splitter(frame.MAX_HANDSHAKE_BODY_BYTES)
    first = await handshake.read_first(reader, splitter)
    return link.Link(
        reader,
        writer,
        handshake.check_welcome(first),
        splitter,
        timing,
        revision or (lambda: hello.revision),
        on_revision,
        heartbeat_factor,
    )
