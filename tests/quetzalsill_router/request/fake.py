"""Small fakes of what requests call: peers, journal and claims."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import json
import time
from typing import Any

from quetzalsill.config import holder as config_holder
from quetzalsill.config import model
from quetzalsill.settings import section
from quetzalsill.telemetry import log
from quetzalsill.wire import message
from quetzalsill_router import context, settings
from quetzalsill_router.durable import entry as durable_entry
from quetzalsill_router.limit import length, shares
from quetzalsill_router.request import (
    active,
    ident,
    recent_outcomes,
    retry,
    spec,
)
from quetzalsill_router.routing import expected_wait

log.configure('error')

MODEL = 'depot-writer'
NODE = section.Node('entry-1', 'ikeja-hall')


def event(text: str, **extra: Any) -> bytes:
    """One event of a completion."""
    return json.dumps(
        {'choices': [{'index': 0, 'text': text}], **extra}
    ).encode()


class Attempt:
    """Gives the messages of a script; then stays silent."""

    def __init__(self, dispatch, script):
        self.id = dispatch.attempt
        self.dispatch = dispatch
        self.granted = []
        self.body = []
        self.body_ended = asyncio.Event()
        self.cancelled = False
        self.detached = False
        self.gave_up = False
        self.withdrawn = asyncio.Event()
        self.closed = asyncio.Event()
        self.messages = asyncio.Queue()
        for msg in script:
            self.put(msg)

    def put(self, msg):
        self.messages.put_nowait(dataclasses.replace(msg, attempt=self.id))

    async def receive(self):
        return await self.messages.get()

    def grant(self, seq, items):
        self.granted.append((seq, items))

    def withdraw(self):
        self.withdrawn.set()

    def cancel(self):
        self.cancelled = True

    def close(self):
        self.closed.set()

    def detach(self):
        self.detached = True

    async def send_body(self, data, *, last):
        self.body.append(data)
        if last:
            self.body_ended.set()


class Peer:
    """One sidecar; each Dispatch takes the next script."""

    def __init__(self, upstream, *scripts, zone='ikeja-hall', load=None):
        self.upstream = upstream
        self.availability_zone = zone
        self.incarnation = 7
        self.engine = 5
        self.linked = True
        self.leaving = False
        self.load = load
        self.outstanding = 0
        self.attempts = []
        self.opened = asyncio.Event()
        self._scripts = list(scripts)

    def open(self, dispatch):
        script = self._scripts.pop(0) if self._scripts else ()
        attempt = Attempt(dispatch, script)
        self.attempts.append(attempt)
        self.opened.set()
        return attempt


class Peers:
    """The peers of a router, in order."""

    def __init__(self, *peers):
        self._peers = list(peers)
        self._count = 0
        self.returning = False

    def next_attempt_id(self):
        self._count += 1
        return f'entry-1/1/{self._count}'

    def candidates(self, _use):
        return list(self._peers)

    def is_returning(self, _use):
        return self.returning

    def get(self, upstream):
        return next((p for p in self._peers if p.upstream == upstream), None)


class Journal:
    """Keeps what it is told."""

    def __init__(self):
        self.accepted = []
        self.runs = []
        self.settled = {}
        self.refusal = None

    async def accept(self, entry):
        if self.refusal is not None:
            raise self.refusal
        entry.request = f'entry-1-1-{len(self.accepted)}'
        self.accepted.append(entry)
        return entry.request

    async def record_dispatch(self, entry, run):
        self.runs.append((entry.request, run))

    async def settle(self, entry, answer):
        assert entry.request not in self.settled
        self.settled[entry.request] = answer

    def owns(self, _entry):
        return True


class Claims:
    """Keys by account, as one row each."""

    def __init__(self):
        self.holders = {}

    async def claim(self, entry):
        holder = self.holders.setdefault(
            (entry.account, entry.idempotency_key), entry.request
        )
        return Claim(holder)


@dataclasses.dataclass
class Claim:
    """Holder of a key."""

    request: str


def configuration(**profile: Any) -> model.Configuration:
    """A configuration with one profile, model, service and account."""
    digest = hashlib.sha256(b'retailers-token').hexdigest()
    return model.Configuration(
        profiles={'prompt': model.Profile(**profile)},
        models={MODEL: model.Model()},
        services={
            'ordering': model.Service(
                routes=[
                    model.Route(path='/', methods=['GET'], idempotent=True),
                    model.Route(path='/orders', max_body_bytes=4096),
                ]
            )
        },
        accounts={'retailers': model.Account(token_sha256=[digest])},
        upstreams={
            name: model.Upstream('model', '127.0.0.1:1', 'ikeja-hall')
            for name in ('one', 'two')
        },
        revision=3,
    )


def make_context(
    *peers: Peer, cfg: model.Configuration | None = None
) -> context.Context:
    """A router around fakes."""
    holder = config_holder.Holder()
    holder.current = cfg or configuration()
    return context.Context(
        settings=settings.RouterSettings(
            node=NODE,
            listen=section.Listen(),
            platform=section.Platform('http://t', 'http://o', 'http://h'),
            credential='0123456789abcdef',
        ),
        holder=holder,
        store=None,
        table=None,
        recent=recent_outcomes.RecentOutcomes(),
        peers=Peers(*peers),
        journal=Journal(),
        claims=Claims(),
        answers=None,
        registration=None,
        request_ids=ident.RequestIds('entry-1', 1),
        active=active.ActiveRequests(),
        limiter=shares.Limiter(lambda: 1),
        lengths=length.Lengths(),
        budget=retry.RetryBudget(0.1, 20),
        routing=expected_wait.expected_wait(),
        policies=holder.current.policies,
        ready=True,
    )


def make_work(
    ctx: context.Context, deadline_s: float = 30.0, **fields: Any
) -> spec.Work:
    """A streamed completion under the configured profile."""
    profile = ctx.holder.current.profiles['prompt']
    given = {
        'request': 'req-1',
        'account': 'retailers',
        'profile_name': 'prompt',
        'profile': profile,
        'target': MODEL,
        'kind': spec.COMPLETION,
        'payload': b'{}',
        'deadline': time.monotonic() + deadline_s,
        'idempotent': profile.idempotent,
        'revision': ctx.holder.revision,
        'stream': True,
    }
    return spec.Work(**(given | fields))


def started() -> message.Started:
    """The attempt reached its upstream."""
    return message.Started('', 0)


def chunk(seq: int, *items: bytes) -> message.Chunk:
    """Items from `seq` on."""
    return message.Chunk('', seq, list(items))


def finished(seq: int) -> message.Finished:
    """The whole answer."""
    return message.Finished('', seq)


def refused(
    code: str = 'overloaded', retry_after_ms: int = 0
) -> message.Refused:
    """Not run."""
    return message.Refused('', code, code, retry_after_ms)


def failed(
    ran: str, gone: bool = False, code: str = 'upstream_failed'
) -> message.Failed:
    """A failure after the Dispatch."""
    return message.Failed('', code, code, ran, gone)


def make_entry(**fields: Any) -> durable_entry.Entry:
    """A journalled, durable completion."""
    given = {
        'account': 'retailers',
        'profile': 'prompt',
        'model': MODEL,
        'kind': spec.COMPLETION,
        'payload': b'{}',
        'stream': True,
        'durable': True,
        'idempotent': True,
        'idempotency_key': '',
        'digest': '',
        'accepted_ms': 0,
        'deadline_ms': 30_000,
        'request': 'entry-9-1-0',
    }
    return durable_entry.Entry(**(given | fields))
