"""Settings of a sidecar process."""

from __future__ import annotations

import dataclasses

from quetzalsill.schema import key as schema_key
from quetzalsill.settings import section

__all__ = [
    'Bounds',
    'Monitoring',
    'Placement',
    'SidecarSettings',
    'Timing',
    'UpstreamTarget',
]

key = schema_key.key


@dataclasses.dataclass(slots=True)
class UpstreamTarget:
    """The upstream that this process serves."""

    name: str = key(
        'Name of the upstream in the configuration.',
        pattern=schema_key.NAME,
        example='ikeja-planner-1',
    )
    url: str = key(
        'URL of the upstream.',
        pattern=r'http://[^\s/]+(/\S*)?',
        example='http://127.0.0.1:7401',
    )
    kind: str = key(
        'Model server or app server.', 'model', choices=('model', 'app')
    )


@dataclasses.dataclass(slots=True)
class Timing:
    """Timeouts for the upstream and for disconnected routers."""

    connect_s: float = key(
        'Longest time to open a connection to the upstream.',
        2.0,
        unit='s',
        minimum=0.05,
        maximum=60,
    )
    answer_s: float = key(
        'Longest time for a cancel or a load report.',
        3.0,
        unit='s',
        minimum=0.05,
        maximum=60,
    )
    stall_s: float = key(
        'Silence between tokens after which a new connection is tried.',
        10.0,
        unit='s',
        minimum=0.1,
        maximum=600,
    )
    resume_s: float = key(
        'Time without any answer after which a generation is given up.',
        15.0,
        unit='s',
        minimum=0.1,
        maximum=600,
    )
    refused_s: float = key(
        'The same while every connection is refused: the engine is dead.',
        2.0,
        unit='s',
        minimum=0.1,
        maximum=600,
    )
    poll_s: float = key(
        'Interval of load reports fetched from the engine.',
        0.5,
        unit='s',
        minimum=0.05,
        maximum=60,
    )
    queued_orphan_s: float = key(
        'Time that queued work waits for its lost router to come back.',
        3.0,
        unit='s',
        minimum=0.1,
        maximum=600,
    )
    orphan_s: float = key(
        'Time that running work goes on for its lost router.',
        15.0,
        unit='s',
        minimum=0.1,
        maximum=3600,
    )
    durable_orphan_s: float = key(
        'The same for durable profiles, whose requests are taken over.',
        300.0,
        unit='s',
        minimum=0.1,
        maximum=86400,
    )
    retention_s: float = key(
        'Time that an ended answer is kept for a router that lost its link.',
        60.0,
        unit='s',
        minimum=0.1,
        maximum=86400,
    )
    config_s: float = key(
        'Longest wait for a newer configuration named by a Dispatch.',
        2.0,
        unit='s',
        minimum=0.05,
        maximum=60,
    )
    grace_s: float = key(
        'Longest time that running work is given at shutdown.',
        300.0,
        unit='s',
        minimum=0.1,
        maximum=86400,
    )


@dataclasses.dataclass(slots=True)
class Monitoring:
    """Listener of `/healthz`, `/readyz` and `/metrics`."""

    host: str = key('IP number to listen on.', '127.0.0.1', pattern=r'\S+')
    port: int = key('Port; 0 for no listener.', 0, minimum=0, maximum=65535)
    tls: section.Tls = key('TLS of the listener.', factory=section.Tls)


@dataclasses.dataclass(slots=True)
class Placement:
    """Timing of orders to the engine."""

    interval_s: float = key(
        'Interval of looks at what the engine has loaded.',
        2.0,
        unit='s',
        minimum=0.05,
        maximum=600,
    )
    confirm_s: float = key(
        'Interval at which the platform is told what is loaded here.',
        60.0,
        unit='s',
        minimum=0.1,
        maximum=3600,
    )
    lease_s: float = key(
        'TTL of the lease under which orders are given, and of load slots.',
        20.0,
        unit='s',
        minimum=2.0,
        maximum=600,
    )
    order_s: float = key(
        'Longest time that the engine may take over an order.',
        600.0,
        unit='s',
        minimum=0.1,
        maximum=7200,
    )
    read_back_s: float = key(
        'Longest wait until the engine shows an order that it has done.',
        10.0,
        unit='s',
        minimum=0.1,
        maximum=600,
    )


@dataclasses.dataclass(slots=True)
class Bounds:
    """Limits on memory use."""

    queue: int = key(
        'Attempts that may wait.', 1024, minimum=1, maximum=1_000_000
    )
    running: int = key(
        'Attempts on the upstream at once.', 256, minimum=1, maximum=100_000
    )
    tail_bytes: int = key(
        'Unacknowledged answer kept of one generation before its reading '
        'is held up.',
        8_388_608,
        unit='bytes',
        minimum=65536,
        maximum=1_073_741_824,
    )
    call_bytes: int = key(
        'Unacknowledged answer kept of one call before its reading is held up.',
        262_144,
        unit='bytes',
        minimum=65536,
        maximum=1_073_741_824,
    )
    body_bytes: int = key(
        'Body of one call that a router may send ahead of the upstream; the '
        'call fails beyond it.',
        262_144,
        unit='bytes',
        minimum=65536,
        maximum=1_073_741_824,
    )
    tombstones: int = key(
        'Ended attempts remembered.', 100_000, minimum=100, maximum=10_000_000
    )


@dataclasses.dataclass(slots=True)
class SidecarSettings:
    """Settings of one sidecar."""

    node: section.Node = key('Identity of this process.')
    upstream: UpstreamTarget = key('The upstream beside this process.')
    credential: str = key(
        'Shared secret that routers present on their links.',
        secret=True,
        example='change-me',
    )
    platform: section.Platform = key('Services of the platform.')
    listen: section.Listen = key(
        'Listener for the links of routers.', factory=section.Listen
    )
    tls: section.Tls = key('TLS of the links.', factory=section.Tls)
    telemetry: section.Telemetry = key(
        'Logs and traces.', factory=section.Telemetry
    )
    link: section.LinkTiming = key(
        'Timing of the links.', factory=section.LinkTiming
    )
    monitoring: Monitoring = key('Listener for monitoring.', factory=Monitoring)
    placement: Placement = key('Orders to the engine.', factory=Placement)
    timing: Timing = key('Bounds of waits.', factory=Timing)
    bounds: Bounds = key('Bounds of memory.', factory=Bounds)
