"""Settings sections shared by the roles.

Settings apply to one process: addresses, keys, timings. Values shared by the
whole system belong to the configuration, see `config.model`.
"""

from __future__ import annotations

import dataclasses

from quetzalsill.schema import key as schema_key

__all__ = [
    'LinkTiming',
    'Listen',
    'Machine',
    'Node',
    'Platform',
    'Telemetry',
    'Tls',
]

key = schema_key.key
URL = r'https?://[^\s/]+'


@dataclasses.dataclass(slots=True)
class Node:
    """Identity of a process."""

    name: str = key(
        'Name of the node, unique in the system.',
        pattern=schema_key.NAME,
        example='entry-1',
    )
    availability_zone: str = key(
        'Availability zone of the host.',
        pattern=schema_key.NAME,
        example='ikeja-hall',
    )


@dataclasses.dataclass(slots=True)
class Machine:
    """What this process may use of its machine."""

    memory_mb: float = key(
        'Memory of the process; 0 for the default of its role.',
        0.0,
        unit='MB',
        minimum=0,
        maximum=1_048_576,
    )
    file_descriptors: int = key(
        'Open descriptors of the process; 0 for the kernel limit.',
        0,
        minimum=0,
        maximum=1_048_576,
    )


@dataclasses.dataclass(slots=True)
class Listen:
    """Address of a listener."""

    host: str = key('IP number to listen on.', '127.0.0.1', pattern=r'\S+')
    port: int = key(
        'Port to listen on; 0 lets the kernel choose.',
        0,
        minimum=0,
        maximum=65535,
    )


@dataclasses.dataclass(slots=True)
class Tls:
    """Certificate files; TLS is disabled if all are empty.

    If an authority is set, both sides must present a certificate signed by it.
    """

    certificate: str = schema_key.key('PEM file of the certificate chain.', '')
    key: str = schema_key.key('PEM file of the private key.', '')
    authority: str = schema_key.key(
        'PEM file of the authority that peers need.', ''
    )


@dataclasses.dataclass(slots=True)
class Platform:
    """Addresses of the platform's services."""

    table: str = key(
        'URL of the table service.',
        pattern=URL,
        example='http://127.0.0.1:7301',
    )
    objects: str = key(
        'URL of the object store.',
        pattern=URL,
        example='http://127.0.0.1:7301',
    )
    hosts: str = key(
        'URL of the host list.',
        pattern=URL,
        example='http://127.0.0.1:7302',
    )
    timeout_s: float = key(
        'Longest wait for one answer of the platform.',
        2.0,
        unit='s',
        minimum=0.05,
        maximum=60,
    )


@dataclasses.dataclass(slots=True)
class Telemetry:
    """Logs and traces of a process."""

    log_level: str = key(
        'Least level of log lines.',
        'info',
        choices=('debug', 'info', 'warning', 'error'),
    )
    trace_file: str = key(
        'File to which spans are appended as JSON lines; empty for none.', ''
    )


@dataclasses.dataclass(slots=True)
class LinkTiming:
    """Timeouts of a link between router and sidecar."""

    idle_s: float = key(
        'Silence after which a side sends a heartbeat.',
        1.0,
        unit='s',
        minimum=0.05,
        maximum=60,
    )
    silence_s: float = key(
        'Silence after which a link is given up.',
        3.0,
        unit='s',
        minimum=0.1,
        maximum=300,
    )
    connect_s: float = key(
        'Longest time to set up a link.',
        2.0,
        unit='s',
        minimum=0.05,
        maximum=60,
    )
