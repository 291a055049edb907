"""Settings of a gateway process."""

from __future__ import annotations

import dataclasses

from quetzalsill.schema import key as schema_key
from quetzalsill.settings import section

__all__ = [
    'Answers',
    'Retry',
    'ServerLimit',
    'Settings',
    'Shares',
    'Stop',
    'Warmup',
    'Watch',
    'address',
]

key = schema_key.key
ADDRESS = r'[0-9A-Fa-f.:]+:[0-9]{1,5}'


def address(text: str) -> tuple[str, int]:
    """Returns IP address and port of a string that matches `ADDRESS`."""
    host, _, port = text.rpartition(':')
    return host, int(port)


@dataclasses.dataclass(slots=True)
class Retry:
    """Limits on the retries of all gateways together."""

    ratio: float = key(
        'Retries per request of a caller.', 0.1, minimum=0, maximum=1
    )
    allowance: float = key(
        'Retries besides, of all gateways together.', 10.0, minimum=0
    )
    window_s: float = key(
        'Window in which both hold.', 10.0, unit='s', minimum=0.1
    )
    gateways: int = key(
        'Gateways that share the allowance.', 16, minimum=1, maximum=100_000
    )


@dataclasses.dataclass(slots=True)
class Warmup:
    """How far all gateways may exceed the rate of a cold upstream."""

    overage: float = key(
        'Multiple of its rate that a cold upstream takes in one second.',
        1.0,
        minimum=1,
        maximum=100,
    )
    allowance: float = key(
        'Requests that it takes in one second besides.', 0.0, minimum=0
    )


@dataclasses.dataclass(slots=True)
class ServerLimit:
    """How far all gateways may exceed a limit that an upstream names."""

    overage: float = key(
        'Multiple of its limit that an upstream takes in the window.',
        1.5,
        minimum=1,
        maximum=100,
    )
    allowance: float = key(
        'Requests that it takes in the window besides.', 5.0, minimum=0
    )
    window_s: float = key(
        'Window in which both hold.', 4.0, unit='s', minimum=0.1
    )


@dataclasses.dataclass(slots=True)
class Watch:
    """How quickly a gateway learns of changes in the store."""

    configuration_ms: float = key(
        'Time in which a change of the configuration must be in force.',
        2000.0,
        unit='ms',
        minimum=200,
        maximum=60_000,
    )
    leaving_ms: float = key(
        'Time in which an upstream that leaves must get nothing new.',
        2000.0,
        unit='ms',
        minimum=200,
        maximum=60_000,
    )


@dataclasses.dataclass(slots=True)
class Shares:
    """Shares of client accounts while engines are short."""

    enabled: bool = key(
        'Whether waiting generations are ordered by the share of their client'
        ' account; set it at all gateways.',
        False,
    )


@dataclasses.dataclass(slots=True)
class Stop:
    """Timing of a graceful shutdown."""

    grace_s: float = key(
        'Time from the signal to the end of the process.',
        8.0,
        unit='s',
        minimum=0,
        maximum=3600,
    )
    leave_s: float = key(
        'Time in which the balancer takes the gateway out.',
        2.6,
        unit='s',
        minimum=0,
        maximum=60,
    )


@dataclasses.dataclass(slots=True)
class Answers:
    """Bounds of what upstreams and the store send besides bodies."""

    head_bytes: int = key(
        'Size of the status line, headers, interim answers and trailers of an'
        ' answer together.',
        65_536,
        unit='bytes',
        minimum=1024,
        maximum=16_777_216,
    )
    head_s: float = key(
        'Time from the first byte of one of them to its end.',
        2.0,
        unit='s',
        minimum=0.1,
        maximum=600,
    )


@dataclasses.dataclass(slots=True)
class Settings:
    """Settings of a gateway."""

    node: section.Node = key('Identity.')
    listen: str = key(
        'IP number and port for callers; port 0 lets the kernel choose.',
        pattern=ADDRESS,
        example='127.0.0.1:7600',
    )
    ready: str = key(
        'IP number and port for the question of readiness, and for metrics.',
        pattern=ADDRESS,
        example='127.0.0.1:7601',
    )
    store: str = key(
        'IP number and port of the store of configuration and membership.',
        pattern=ADDRESS,
        example='127.0.0.1:7602',
    )
    deployment: str = key(
        'Plug-in that speaks with this deployment.', 'platform'
    )
    ready_path: str = key('Path of the readiness question.', '/ready')
    metrics: str = key(
        'IP number and port of metrics besides; empty for none.',
        '',
        pattern=f'({ADDRESS})?',
    )
    peers: str = key(
        'IP number and UDP port for the other gateways; empty for none.',
        '',
        pattern=f'({ADDRESS})?',
    )
    retry: Retry = key('Bounds of retries.', factory=Retry)
    warmup: Warmup = key('Bounds of cold upstreams.', factory=Warmup)
    server_limit: ServerLimit = key(
        'Bounds of upstreams that name a limit.', factory=ServerLimit
    )
    answers: Answers = key('Bounds of answers.', factory=Answers)
    machine: section.Machine = key(
        'What the process may use.', factory=section.Machine
    )
    shares: Shares = key('Shares of client accounts.', factory=Shares)
    regions: dict[str, str] = key(
        'Region of each availability zone; for requests that are bound to'
        ' regions.',
        factory=dict,
    )
    watch: Watch = key(
        'How soon changes at the store are known.', factory=Watch
    )
    stop: Stop = key('How it stops.', factory=Stop)
    telemetry: section.Telemetry = key(
        'Logs and traces.', factory=section.Telemetry
    )
