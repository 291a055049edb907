"""Every event that the kernel writes to its log, with its fields."""

from __future__ import annotations

from quetzalsill.telemetry import event

__all__ = [
    'BackgroundFailed',
    'CertificateNotReloaded',
    'CertificateReloaded',
    'ConfigurationCallbackFailed',
    'ConfigurationInstalled',
    'ConfigurationNotRead',
    'ConfigurationReadAgain',
    'ConnectionCut',
    'HandshakeRefused',
    'HttpStopBound',
    'LinkEnded',
    'LinkRefused',
    'LinkTaskFailed',
    'ProcessFailed',
    'ProcessStarted',
    'ProcessStopped',
    'note',
]

note = event.note


@event.define
class BackgroundFailed(event.Event, level='error'):
    """A background task failed and is begun anew.

    Attributes:
      task: What the task does.
    """

    task: str


@event.define
class CertificateNotReloaded(event.Event, level='warning'):
    """A changed certificate cannot be used; the one before stays.

    Attributes:
      reason: What was given as the reason.
    """

    reason: str


@event.define
class CertificateReloaded(event.Event):
    """A changed certificate is in use.

    Attributes:
      file: File that was read.
    """

    file: str


@event.define
class ConfigurationCallbackFailed(event.Event, level='error'):
    """A part did not take a new configuration.

    Attributes:
      revision: Revision of the configuration.
    """

    revision: int


@event.define
class ConfigurationInstalled(event.Event):
    """A revision of the configuration is in force.

    Attributes:
      revision: Revision of the configuration.
    """

    revision: int


@event.define
class ConfigurationNotRead(event.Event, level='warning'):
    """The configuration cannot be read; the newest one stays in force.

    Attributes:
      error: Code or type of the failure.
    """

    error: str


@event.define
class ConfigurationReadAgain(event.Event):
    """The configuration can be read again."""


@event.define
class ConnectionCut(event.Event, level='warning'):
    """A connection was cut for what it did.

    Attributes:
      reason: What was given as the reason.
      client: Address of the other end.
    """

    reason: str
    client: str


@event.define
class HandshakeRefused(event.Event, level='warning'):
    """A TLS handshake failed.

    Attributes:
      reason: What was given as the reason.
    """

    reason: str


@event.define
class HttpStopBound(event.Event, level='warning'):
    """Requests were still under way when the listener had to stop.

    Attributes:
      running: Requests under way.
      connections: Connections that are open.
    """

    running: int
    connections: int


@event.define
class LinkEnded(event.Event):
    """A link has ended.

    Attributes:
      remote: Address of the other end.
      node: Node at the other end.
      code: Code of the failure; `ok` or empty if none.
      detail: What happened, in words.
    """

    remote: str
    node: str
    code: str
    detail: str


@event.define
class LinkRefused(event.Event, level='warning'):
    """A link was refused.

    Attributes:
      remote: Address of the other end.
      code: Code of the failure; `ok` or empty if none.
      detail: What happened, in words.
    """

    remote: str
    code: str
    detail: str


@event.define
class LinkTaskFailed(event.Event, level='error'):
    """What serves a link failed in a way that nobody foresaw."""


@event.define
class ProcessFailed(event.Event, level='error'):
    """The process ends with a failure.

    Attributes:
      error: Code or type of the failure.
      reason: What was given as the reason.
    """

    error: str
    reason: str


@event.define
class ProcessStarted(event.Event):
    """The process has started."""


@event.define
class ProcessStopped(event.Event):
    """The process has ended."""
