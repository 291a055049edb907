"""Fakes of the router parts that the administration API uses."""

from __future__ import annotations

import dataclasses
import hashlib
import json
import unittest

import blacksheep
from blacksheep import contents, testing
from blacksheep.server import routing

from quetzalsill.config import document, holder, revision, store
from quetzalsill.platform import error as platform_error
from quetzalsill.wire import message
from quetzalsill_router.admin import context, routes, view
from quetzalsill_router.http import forward

OPERATOR = 'operator-token'
VIEWER = 'viewer-token'
BOOTSTRAP = 'bootstrap-token'


def digest(token):
    return hashlib.sha256(token.encode()).hexdigest()


def sample_configuration():
    """Returns a small valid document."""
    return {
        'profiles': {'prompt': {}, 'patient': {'durable': True}},
        'models': {'planner': {'profile': 'patient'}},
        'upstreams': {
            'ikeja-1': {
                'kind': 'model',
                'sidecar': '127.0.0.1:7201',
                'availability_zone': 'ikeja-hall',
                'models': ['planner'],
            }
        },
        'accounts': {'lagos': {'token_sha256': [digest('lagos-token')]}},
        'operators': {
            'ada': {'token_sha256': digest(OPERATOR), 'role': 'operator'},
            'obi': {'token_sha256': digest(VIEWER)},
        },
    }


class MemoryStore:
    """A configuration store in memory that can simulate failures.

    Attributes:
      down: Every call fails.
      responses_to_lose: How many of the next publications take effect but
        report an unknown outcome.
      before_publish: Called at the start of each publication.
    """

    def __init__(self):
        self.down = False
        self.responses_to_lose = 0
        self.before_publish = lambda: None
        self._entries = []
        self._documents = [b'{}']

    def _check_available(self):
        if self.down:
            raise platform_error.PlatformUnavailableError('down')

    async def head(self):
        self._check_available()
        if not self._entries:
            return revision.Head()
        entry = self._entries[-1]
        return revision.Head(entry.revision, entry.edit, entry.author, entry.at)

    async def load(self, number):
        self._check_available()
        if number >= len(self._documents):
            raise store.RevisionMissingError(f'no revision {number}')
        return self._documents[number]

    async def history(self, limit):
        self._check_available()
        return self._entries[::-1][:limit]

    async def publish(self, data, expected_revision, edit, author, note):
        self._check_available()
        self.before_publish()
        for entry in self._entries:
            if entry.edit == edit and self._documents[entry.revision] == data:
                return entry.revision
            if entry.edit == edit:
                raise store.EditReusedError(edit)
        if expected_revision != len(self._entries):
            raise store.RevisionConflictError(len(self._entries))
        made = self._append(data, edit, author, note)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise store.OutcomeUnknownEditError(edit, expected_revision)
        return made

    def _append(self, data, edit, author, note=''):
        made = len(self._documents)
        self._documents.append(data)
        self._entries.append(
            revision.Revision(made, edit, author, note, '2026-12-02', '', '')
        )
        return made

    def put(self, plain, author='ada'):
        """Publishes a document directly, without the API."""
        data = document.render(document.parse(json.dumps(plain).encode(), 0))
        edit = f'edit-{len(self._documents)}'
        return data, self._append(data, edit, author)


@dataclasses.dataclass(slots=True)
class Peer:
    """A linked sidecar."""

    upstream: str
    availability_zone: str = 'ikeja-hall'
    incarnation: int = 3
    linked: bool = True
    leaving: bool = False
    load: message.Load | None = None


def load(revision):
    return message.Load(
        1, 2, 30, 100, 40, 5.0, ['planner'], False, True, revision
    )


class Requests:
    """A fake of `RequestControl`, with requests by id."""

    def __init__(self):
        self.found = {}

    async def find(self, request):
        return self.found.get(request)

    async def cancel(self, request):
        found = self.found.get(request)
        if found is None:
            return None
        return dataclasses.replace(found, state='failed', code='cancelled')


class Router:
    """A router with the administration API, without a listener."""

    def __init__(self, config_store=None, name='entry-1'):
        self.store = config_store or MemoryStore()
        self.holder = holder.Holder()
        self.peers = []
        self.requests = Requests()
        self.forward_result = forward.ForwardResult()
        self.context = context.AdminContext(
            node=name,
            bootstrap_sha256=digest(BOOTSTRAP),
            holder=self.holder,
            store=self.store,
            peers=lambda: self.peers,
            routers=self.routers,
            requests=self.requests,
            forward_to_routers=self.forward_to_routers,
        )
        self.app = blacksheep.Application(router=routing.Router())
        routes.mount(self.app, self.context)

    async def forward_to_routers(self, req, request):
        return self.forward_result

    async def routers(self):
        return [
            view.NodeView(
                self.context.node,
                'router',
                'live',
                'ikeja-hall',
                '127.0.0.1:7100',
                1,
                0,
            )
        ]

    def install(self, plain=None):
        """Publishes and installs a first configuration."""
        self.holder.install(*self.store.put(plain or sample_configuration()))

    async def client(self):
        await self.app.start()
        return Client(testing.TestClient(self.app))


class Client:
    """Calls the API with a token and a JSON body."""

    def __init__(self, client):
        self._client = client

    async def __call__(
        self, method, path, body=None, *, token=OPERATOR, raw=None, **headers
    ):
        sent = {k.replace('_', '-'): v for k, v in headers.items()}
        if token:
            sent['Authorization'] = f'Bearer {token}'
        path, _, query = f'/admin/v1{path}'.partition('?')
        if raw is None:
            raw = b'' if body is None else json.dumps(body).encode()

        async def receive():
            return {'type': 'http.request', 'body': raw, 'more_body': False}

        content = contents.ASGIContent(receive)
        arguments = {'content': content} if method in ('put', 'post') else {}
        resp = await getattr(self._client, method)(
            path, headers=sent, query=query.encode(), **arguments
        )
        return resp.status, json.loads(await resp.read()), resp


class ApiTestCase(unittest.IsolatedAsyncioTestCase):
    """Provides a router with an active configuration and its client."""

    async def asyncSetUp(self):
        self.router = Router()
        self.router.install()
        self.call = await self.router.client()
