"""Model of the shared configuration that operators edit.

Each class is a section of the configuration document. `schema.check` builds
the instances from parsed JSON and reports invalid keys.
"""

from __future__ import annotations

import dataclasses

from quetzalsill.schema import key as schema_key

__all__ = [
    'Account',
    'Configuration',
    'Limits',
    'Model',
    'Operator',
    'Policies',
    'Profile',
    'Route',
    'Service',
    'Upstream',
]

key = schema_key.key
NAME = schema_key.NAME
SHA256 = r'[0-9a-f]{64}'


@dataclasses.dataclass(slots=True)
class Profile:
    """Delivery and scheduling guarantees of one class of requests."""

    delivery: str = key(
        'How tokens reach the caller: as they come, or once all are there.',
        'stream',
        choices=('stream', 'whole'),
    )
    durable: bool = key(
        'Accepted requests are journalled in the platform and never lost.',
        False,
    )
    idempotent: bool = key(
        'A generation may be run again while the caller has nothing of it.',
        True,
    )
    deadline_s: float = key(
    'Longest time from acceptance to the whole answer.',
    120.0, unit='s', minimum=0.1, maximum=86400,
  )  # fmt: skip
    queue_wait_s: float = key(
    'Longest wait in queues before the request is refused as not run.',
    10.0, unit='s', minimum=0.0, maximum=86400,
  )  # fmt: skip
    priority: int = key(
    'Priority handed to the engine; 0 is served first.',
    5, minimum=0, maximum=9,
  )  # fmt: skip
    memory_quantile: float = key(
    'Quantile of the remaining length that admission reserves memory for.',
    0.5, minimum=0.05, maximum=0.999,
  )  # fmt: skip
    uses_headroom: bool = key(
        'May use the engine memory that is kept free for prompt work.', False
    )
    ageing_s: float = key(
    'Queue wait after which the request is ordered as if prompt.',
    60.0, unit='s', minimum=0.1, maximum=86400,
  )  # fmt: skip
    retries: int = key(
    'Further dispatches allowed after proofs that nothing ran.',
    3, minimum=0, maximum=20,
  )  # fmt: skip
    max_output_tokens: int = key(
    'Bound on the tokens of one answer.',
    32768, unit='tokens', minimum=1, maximum=1_000_000,
  )  # fmt: skip


@dataclasses.dataclass(slots=True)
class Model:
    """A model that callers select in their requests."""

    profile: str = key('Profile if caller and account name none.', '')
    adapters: list[str] = key('Adapters that may be asked for.', factory=list)
    context_tokens: int = key(
    'Bound on prompt and answer together.',
    131072, unit='tokens', minimum=16, maximum=10_000_000,
  )  # fmt: skip


@dataclasses.dataclass(slots=True)
class Upstream:
    """A model server or app server, reached only through its sidecar."""

    kind: str = key(
        'Model server or app server.', choices=('model', 'app'), example='model'
    )
    sidecar: str = key(
        'IP:PORT where its sidecar listens for routers.',
        pattern=r'\S+:\d{1,5}',
        example='127.0.0.1:7201',
    )
    availability_zone: str = key(
        'Availability zone of the upstream host.',
        pattern=NAME,
        example='ikeja-hall',
    )
    models: list[str] = key('Models to keep loaded.', factory=list)
    adapters: list[str] = key('Adapters to keep loaded.', factory=list)
    services: list[str] = key('Services of an app server.', factory=list)
    role: str = key(
        'Role ordered from the engine.',
        'mixed',
        choices=('mixed', 'prefill', 'decode'),
    )
    checks_fence: bool = key(
        'The engine refuses an order that carries an old fencing number.', False
    )
    draining: bool = key('Takes no new work; set by `upstream drain`.', False)


@dataclasses.dataclass(slots=True)
class Route:
    """A route of a plain service."""

    path: str = key(
        'Path prefix below the service.', pattern=r'/.*', example='/'
    )
    methods: list[str] = key('Methods; empty for all.', factory=list)
    idempotent: bool = key('A call may be repeated after a failure.', False)
    timeout_s: float = key(
    'Longest time for the whole call.',
    30.0, unit='s', minimum=0.1, maximum=3600,
  )  # fmt: skip
    max_body_bytes: int = key(
    'Largest request body.',
    16_777_216, unit='bytes', minimum=0, maximum=1_073_741_824,
  )  # fmt: skip


@dataclasses.dataclass(slots=True)
class Service:
    """A plain service, called without a model engine."""

    routes: list[Route] = key('Routes; the longest path wins.', factory=list)


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits of a client account across all routers; 0 means no limit."""

    concurrency: int = key('Requests at once.', 0, minimum=0, maximum=1_000_000)
    requests_per_minute: int = key(
        'Requests a minute.', 0, unit='1/min', minimum=0, maximum=100_000_000
    )
    tokens_per_minute: int = key(
    'Generated tokens a minute.',
    0, unit='tokens/min', minimum=0, maximum=10_000_000_000,
  )  # fmt: skip


@dataclasses.dataclass(slots=True)
class Account:
    """A client account."""

    token_sha256: list[str] = key(
        'Digests of its bearer tokens.',
        factory=list,
        pattern=SHA256,
        secret=True,
    )
    default_profile: str = key(
        "Profile if the caller names none; empty for the model's.", ''
    )
    profiles: list[str] = key('Profiles allowed; empty for all.', factory=list)
    weight: float = key(
    'Share under contention, relative to other accounts.',
    1.0, minimum=0.001, maximum=1000,
  )  # fmt: skip
    limits: Limits = key('Bounds of the account.', factory=Limits)


@dataclasses.dataclass(slots=True)
class Operator:
    """A credential for the administration API."""

    token_sha256: str = key(
        'Digest of its bearer token.',
        pattern=SHA256,
        secret=True,
        example='0' * 64,
    )
    role: str = key('What it may do.', 'viewer', choices=('viewer', 'operator'))


@dataclasses.dataclass(slots=True)
class Policies:
    """Names of the active policy plug-ins, and related limits."""

    routing: str = key('Choice of the upstream.', 'expected-wait')
    admission: str = key('Choice of what starts on an engine.', 'predicted')
    fairness: str = key('Order of the queue.', 'weighted')
    limits: str = key('Sharing of account limits by routers.', 'shares')
    headroom: float = key(
    'Least part of engine memory kept free for prompt work.',
    0.02, minimum=0.0, maximum=0.9,
  )  # fmt: skip
    load_slots: int = key(
        'Engines that may load from the weight store at once.',
        2, minimum=1, maximum=1024,
    )  # fmt: skip
    subset: int = key(
    'Upstreams of a model that one router keeps links to.',
    16, minimum=1, maximum=4096,
  )  # fmt: skip


@dataclasses.dataclass(slots=True)
class Configuration:
    """The complete shared configuration at one revision.

    Attributes:
      revision: Revision number, incremented by one with each edit; set by
        the store, not by operators.
    """

    profiles: dict[str, Profile] = key('Profiles by name.', factory=dict)
    models: dict[str, Model] = key('Models by name.', factory=dict)
    upstreams: dict[str, Upstream] = key('Upstreams by name.', factory=dict)
    services: dict[str, Service] = key('Plain services by name.', factory=dict)
    accounts: dict[str, Account] = key('Client accounts by name.', factory=dict)
    operators: dict[str, Operator] = key('Operators by name.', factory=dict)
    policies: Policies = key('Policies in force.', factory=Policies)
    revision: int = key('Set by the store.', 0, minimum=0)
