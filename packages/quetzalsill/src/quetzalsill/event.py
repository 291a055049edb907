"""Every event that the kernel writes to its log, with its fields."""

from __future__ import annotations

import dataclasses

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


@dataclasses.dataclass(slots=True, frozen=True)
class BackgroundFailed(event.Event, level='error'):
    """A background task failed and is begun anew.

    Attributes:
      task: What the task does.
    """

    task: str


@dataclasses.dataclass(slots=True, frozen=True)
class CertificateNotReloaded(event.Event, level='warning'):
    """A changed certificate cannot be used; the one before stays.

    Attributes:
      reason: What was given as the reason.
    """

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class CertificateReloaded(event.Event):
    """A changed certificate is in use.

    Attributes:
      file: File that was read.
    """

    file: str


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationCallbackFailed(event.Event, level='error'):
    """A part did not take a new configuration.

    Attributes:
      revision: Revision of the configuration.
    """

    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationInstalled(event.Event):
    """A revision of the configuration is in force.

    Attributes:
      revision: Revision of the configuration.
    """

    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationNotRead(event.Event, level='warning'):
    """The configuration cannot be read; the newest one stays in force.

    Attributes:
      error: Code or type of the failure.
    """

    error: str


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationReadAgain(event.Event):
    """The configuration can be read again."""


@dataclasses.dataclass(slots=True, frozen=True)
class ConnectionCut(event.Event, level='warning'):
    """A connection was cut for what it did.

    Attributes:
      reason: What was given as the reason.
      client: Address of the other end.
    """

    reason: str
    client: str


@dataclasses.dataclass(slots=True, frozen=True)
class HandshakeRefused(event.Event, level='warning'):
    """A TLS handshake failed.

    Attributes:
      reason: What was given as the reason.
    """

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class HttpStopBound(event.Event, level='warning'):
    """Requests were still under way when the listener had to stop.

    Attributes:
      running: Requests under way.
      connections: Connections that are open.
    """

    running: int
    connections: int


@dataclasses.dataclass(slots=True, frozen=True)
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


@dataclasses.dataclass(slots=True, frozen=True)
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


@dataclasses.dataclass(slots=True, frozen=True)
class LinkTaskFailed(event.Event, level='error'):
    """What serves a link failed in a way that nobody foresaw."""


@dataclasses.dataclass(slots=True, frozen=True)
class ProcessFailed(event.Event, level='error'):
    """The process ends with a failure.

    Attributes:
      error: Code or type of the failure.
      reason: What was given as the reason.
    """

    error: str
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class ProcessStarted(event.Event):
    """The process has started."""


@dataclasses.dataclass(slots=True, frozen=True)
class ProcessStopped(event.Event):
    """The process has ended."""
