"""TLS contexts from certificate files, reloaded when the files change."""

from __future__ import annotations

import dataclasses
import os
import ssl
from collections.abc import Callable
from typing import TYPE_CHECKING

from quetzalsill import event
from quetzalsill.net import error

if TYPE_CHECKING:
    from quetzalsill.settings import section

__all__ = ['client_context', 'server_context']

FileState = tuple[tuple[int, int, int], ...]
ContextBuilder = Callable[['section.Tls'], ssl.SSLContext]


@dataclasses.dataclass(slots=True)
class _Loaded:
    """A context and the state of the files from which it was built."""

    file_state: FileState
    context: ssl.SSLContext


class _ReloadingContext:
    """Provides a context that follows changes of its files.

    Files are replaced one after the other, so a new certificate may briefly
    coexist with the previous key. Such a pair fails to load; the previous
    context then stays in use until the files change again.
    """

    def __init__(self, tls: section.Tls, build: ContextBuilder) -> None:
        self._tls = tls
        self._build = build
        self._loaded = _Loaded(_read_file_state(tls), build(tls))
        self._last_attempt = self._loaded.file_state

    def current(self) -> ssl.SSLContext:
        """Returns the context of the files in their current state."""
        try:
            file_state = _read_file_state(self._tls)
            if file_state != self._last_attempt:
                self._last_attempt = file_state
                self._loaded = _Loaded(file_state, self._build(self._tls))
                event.note(
                    event.CertificateReloaded(file=self._tls.certificate)
                )
        except error.CertificateError as exc:
            event.note(event.CertificateNotReloaded(reason=exc.detail))
        return self._loaded.context


class _LoggingSSLObject(ssl.SSLObject):
    """Server side of a TLS connection that logs failed handshakes.

    The event loop closes such a connection silently, so that a router with
    an expired certificate would look like one that never connected.
    """

    def do_handshake(self) -> None:
        """Continues the handshake; logs its failure."""
        try:
            super().do_handshake()
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
            raise
        except ssl.SSLError as exc:
            event.note(event.HandshakeRefused(reason=str(exc)))
            raise


_client_contexts: dict[tuple[str, str, str], _ReloadingContext] = {}


def server_context(tls: section.Tls) -> ssl.SSLContext | None:
    """Returns the context of a listener; None if TLS is off.

    Each handshake uses the current state of the files. If an authority is
    set, clients must present a certificate that it signed.

    Raises:
      CertificateError: If the files cannot be loaded.
    """
    if not tls.certificate:
        _reject_incomplete(tls)
        return None
    reloading = _ReloadingContext(tls, _build_server)
    context = reloading.current()

    def select_context(
        connection: ssl.SSLObject, _name: str | None, _context: ssl.SSLContext
    ) -> None:
        connection.context = reloading.current()

    context.sni_callback = select_context
    return context


def client_context(tls: section.Tls) -> ssl.SSLContext | None:
    """Returns the context for one client connection; None if TLS is off.

    Call it for each connection, since the files may have changed.

    Raises:
      CertificateError: If the files cannot be loaded.
    """
    files = (tls.certificate, tls.key, tls.authority)
    if not any(files):
        return None
    reloading = _client_contexts.get(files)
    if reloading is None:
        reloading = _client_contexts[files] = _ReloadingContext(
            tls, _build_client
        )
    return reloading.current()


def _build_server(tls: section.Tls) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.sslobject_class = _LoggingSSLObject
    # A resumed session skips the verification of the client's certificate, so
    # that one that has expired since would still be accepted.
    context.num_tickets = 0
    context.options |= ssl.OP_NO_TICKET
    _load(context, tls)
    if tls.authority:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def _build_client(tls: section.Tls) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    if not tls.authority:
        context.load_default_certs()
    _load(context, tls)
    return context


def _load(context: ssl.SSLContext, tls: section.Tls) -> None:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        if tls.certificate:
            context.load_cert_chain(tls.certificate, tls.key)
        if tls.authority:
            context.load_verify_locations(cafile=tls.authority)
    except (OSError, ValueError) as exc:
        raise _certificate_error(tls, exc) from exc


def _read_file_state(tls: section.Tls) -> FileState:
    """Returns a value that changes when one of the files is replaced."""
    files = filter(None, (tls.certificate, tls.key, tls.authority))
    try:
        stats = [os.stat(file) for file in files]
    except OSError as exc:
        raise _certificate_error(tls, exc) from exc
    return tuple(
        (stat.st_mtime_ns, stat.st_ino, stat.st_size) for stat in stats
    )


def _reject_incomplete(tls: section.Tls) -> None:
    # If only the certificate setting is missing, the listener must not start
    # without TLS.
    if tls.key or tls.authority:
        raise error.CertificateError(
            'a key or CA file is set without a certificate'
        )


def _certificate_error(
    tls: section.Tls, exc: Exception
) -> error.CertificateError:
    files = ', '.join(filter(None, (tls.certificate, tls.key, tls.authority)))
    return error.CertificateError(f'{files}: {exc}')
