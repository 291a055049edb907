"""Log events of the kernel, with their fields."""

from __future__ import annotations

from quetzalsill.telemetry import event

__all__ = [
    'BackgroundFailed',
    'CertificateNotReloaded',
    'CertificateReloaded',
    'ClientsEvicted',
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
    """A background task failed and is restarted.

    Attributes:
      task: Name of the task.
    """

    task: str


@event.define
class CertificateNotReloaded(event.Event, level='warning'):
    """A changed certificate cannot be used; the previous one stays active.

    Attributes:
      reason: Reason for the failure.
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
class ClientsEvicted(event.Event, level='warning'):
    """Stalled clients were refused or closed to free memory or descriptors.

    Attributes:
      count: Connections since the last such line.
      connections: Open connections of clients.
      held_bytes: What clients hold, in bytes.
      bound_bytes: What they may hold together, in bytes.
    """

    count: int
    connections: int
    held_bytes: int
    bound_bytes: int


@event.define
class ConfigurationCallbackFailed(event.Event, level='error'):
    """A component failed to apply a new configuration.

    Attributes:
      revision: Revision of the configuration.
    """

    revision: int


@event.define
class ConfigurationInstalled(event.Event):
    """A revision of the configuration is active.

    Attributes:
      revision: Revision of the configuration.
    """

    revision: int


@event.define
class ConfigurationNotRead(event.Event, level='warning'):
    """The configuration cannot be read; the newest one stays active.

    Attributes:
      error: Code or type of the failure.
    """

    error: str


@event.define
class ConfigurationReadAgain(event.Event):
    """The configuration can be read again."""


@event.define
class ConnectionCut(event.Event, level='warning'):
    """A connection was closed as it exceeded a limit or sent invalid data.

    Attributes:
      reason: Code of the reason.
      client: Address of the client.
    """

    reason: str
    client: str


@event.define
class HandshakeRefused(event.Event, level='warning'):
    """A TLS handshake failed.

    Attributes:
      reason: Reason for the failure.
    """

    reason: str


@event.define
class HttpStopBound(event.Event, level='warning'):
    """Requests were still running when the listener had to stop.

    Attributes:
      running: Number of running requests.
      connections: Number of open connections.
    """

    running: int
    connections: int


@event.define
class LinkEnded(event.Event):
    """A link has ended.

    Attributes:
      remote: Address of the peer.
      node: Node id of the peer.
      code: Code of the failure; `ok` or empty if none.
      detail: Description of the failure.
    """

    remote: str
    node: str
    code: str
    detail: str


@event.define
class LinkRefused(event.Event, level='warning'):
    """A link was refused.

    Attributes:
      remote: Address of the peer.
      code: Code of the failure; `ok` or empty if none.
      detail: Description of the failure.
    """

    remote: str
    code: str
    detail: str


@event.define
class LinkTaskFailed(event.Event, level='error'):
    """The task of a link failed with an unexpected exception."""


@event.define
class ProcessFailed(event.Event, level='error'):
    """The process exits because of a failure.

    Attributes:
      error: Code or type of the failure.
      reason: Reason for the failure.
    """

    error: str
    reason: str


@event.define
class ProcessStarted(event.Event):
    """The process has started."""


@event.define
class ProcessStopped(event.Event):
    """The process has stopped."""
