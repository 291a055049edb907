"""Settings of a router's durable state."""

from __future__ import annotations

import dataclasses

from quetzalsill.schema import key as schema_key

__all__ = ['Durable']

key = schema_key.key


@dataclasses.dataclass(slots=True)
class Durable:
    """Section `durable` of a router's settings."""

    flush_s: float = key(
    'Least time between two writes of the journal.',
    0.01, unit='s', minimum=0.001, maximum=10,
  )  # fmt: skip
    writes_per_s: float = key(
    'Writes to the platform that all routers together aim to stay under.',
    350.0, unit='1/s', minimum=1, maximum=1_000_000,
  )  # fmt: skip
    accept_s: float = key(
    'Longest time that a caller waits for the acceptance of its request.',
    2.0, unit='s', minimum=0.1, maximum=60,
  )  # fmt: skip
    max_unsettled: int = key(
    'Accepted requests that one router holds at once.',
    20_000, minimum=1, maximum=10_000_000,
  )  # fmt: skip
    max_unsettled_bytes: int = key(
    'Memory for payloads and answers that wait for the platform.',
    134_217_728, unit='bytes', minimum=1_048_576, maximum=1_099_511_627_776,
  )  # fmt: skip
    retention_s: float = key(
    'Time that a request can be looked up and its idempotency key is held, '
    'counted from its acceptance; more than the longest deadline.',
    172_800.0, unit='s', minimum=1, maximum=2_592_000,
  )  # fmt: skip
    heartbeat_s: float = key(
    'Least time between two renewals of the router in the platform.',
    3.0, unit='s', minimum=0.05, maximum=600,
  )  # fmt: skip
    ttl_heartbeats: int = key(
    'Renewals missed after which a router counts as dead.',
    4, minimum=2, maximum=100,
  )  # fmt: skip
    recoveries: int = key(
    'Requests of dead routers that are recovered at once.',
    64, minimum=1, maximum=100_000,
  )  # fmt: skip
