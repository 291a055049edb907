"""Settings of the router process."""

from __future__ import annotations

import dataclasses

from quetzalsill.schema import key as schema_key
from quetzalsill.settings import section
from quetzalsill_router.durable import setting as durable_setting

__all__ = ['RequestSettings', 'RetrySettings', 'RouterSettings', 'StopSettings']

key = schema_key.key


@dataclasses.dataclass(slots=True)
class RequestSettings:
    """Limits and timeouts of callers' requests."""

    max_body_bytes: int = key(
        'Largest body of a generation request.',
        4_000_000, unit='bytes', minimum=1024, maximum=4_000_000,
    )  # fmt: skip
    keep_alive_s: float = key(
        'Silence on a streamed answer after which a comment is sent.',
        5.0, unit='s', minimum=0.1, maximum=60,
    )  # fmt: skip
    write_stall_s: float = key(
        'Longest time that a caller may take nothing of its answer.',
        60.0, unit='s', minimum=1, maximum=3600,
    )  # fmt: skip
    credit_items: int = key(
        'Items of an answer that a sidecar may send ahead of the caller.',
        256, minimum=8, maximum=4096,
    )  # fmt: skip
    recover_s: float = key(
        'Longest search for an attempt whose sidecar was lost.',
        10.0, unit='s', minimum=0.5, maximum=300,
    )  # fmt: skip
    settle_s: float = key(
        'Longest background search for the outcome of unproved work.',
        600.0, unit='s', minimum=1, maximum=86400,
    )  # fmt: skip
    conflict_wait_s: float = key(
        'Wait of a repeated idempotency key for the first request.',
        30.0, unit='s', minimum=0, maximum=600,
    )  # fmt: skip


@dataclasses.dataclass(slots=True)
class RetrySettings:
    """Retries made by the router."""

    budget_ratio: float = key(
        'Retries allowed per request, over all requests.',
        0.1, minimum=0, maximum=1,
    )  # fmt: skip
    budget_burst: int = key(
        'Retries allowed at once after a quiet time.',
        20, minimum=0, maximum=10_000,
    )  # fmt: skip
    backoff_s: float = key(
        'Mean of the first backoff; doubles with each retry.',
        0.02, unit='s', minimum=0, maximum=10,
    )  # fmt: skip


@dataclasses.dataclass(slots=True)
class StopSettings:
    """Graceful stop of the router."""

    drain_delay_s: float = key(
        'Time from not ready to refusing, for the balancer to notice.',
        2.0, unit='s', minimum=0, maximum=300,
    )  # fmt: skip
    grace_s: float = key(
        'Longest wait for requests in flight.',
        300.0, unit='s', minimum=0, maximum=86400,
    )  # fmt: skip


@dataclasses.dataclass(slots=True)
class RouterSettings:
    """All settings of a router process."""

    node: section.Node = key('This process.')
    listen: section.Listen = key('Address for callers and operators.')
    platform: section.Platform = key('The platform service.')
    credential: str = key(
        'Secret shared by routers and sidecars.',
        secret=True,
        pattern=r'[!-~]{16,256}',
        example='change-me-change-me',
    )
    seeds: list[str] = key(
        'Sidecars asked for the configuration while the store is down.',
        factory=list,
        pattern=r'\S+:\d{1,5}',
    )
    follow_interval_s: float = key(
        'Interval of looks at the newest revision.',
        1.0, unit='s', minimum=0.05, maximum=60,
    )  # fmt: skip
    hosts_interval_s: float = key(
        'Interval of looks at the host list.',
        2.0, unit='s', minimum=0.05, maximum=60,
    )  # fmt: skip
    tls: section.Tls = key('TLS towards callers.', factory=section.Tls)
    link_tls: section.Tls = key('TLS towards sidecars.', factory=section.Tls)
    links: section.LinkTiming = key(
        'Timing of links to sidecars.', factory=section.LinkTiming
    )
    durable: durable_setting.Durable = key(
        'What this router keeps in the platform.',
        factory=durable_setting.Durable,
    )
    bootstrap_sha256: str = key(
        'Digest of the token that may apply the first configuration.',
        '',
        pattern=r'([0-9a-f]{64})?',
    )
    telemetry: section.Telemetry = key(
        'Logs and traces.', factory=section.Telemetry
    )
    machine: section.Machine = key(
        'What the process may use.', factory=section.Machine
    )
    requests: RequestSettings = key(
        'Requests of callers.', factory=RequestSettings
    )
    retries: RetrySettings = key('Own retries.', factory=RetrySettings)
    stop: StopSettings = key('Graceful stop.', factory=StopSettings)
