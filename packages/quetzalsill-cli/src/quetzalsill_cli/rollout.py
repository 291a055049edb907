"""Which live node has which revision in force."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Any

from quetzalsill_cli import exchange

if TYPE_CHECKING:
    from quetzalsill_cli import router_client

__all__ = ['WAIT_TIMEOUT_S', 'Fleet', 'Node', 'fetch_fleet', 'wait']

WAIT_TIMEOUT_S = 14.0
_POLL_INTERVAL_S = 0.25


@dataclasses.dataclass(slots=True, frozen=True)
class Node:
    """A process as the routers that were asked see it.

    Attributes:
      name: Node name of a router; upstream name of a sidecar.
      kind: `router` or `sidecar`.
      state: `live`, `leaving` or `unlinked`.
      availability_zone: Where it runs.
      address: IP:PORT where it listens.
      incarnation: Number of its present start; 0 if unknown.
      revision: Configuration in force there; 0 if unknown.
      load: Newest load of a sidecar, as JSON data; None if unknown.
    """

    name: str
    kind: str
    state: str
    availability_zone: str
    address: str
    incarnation: int
    revision: int
    load: Any

    def to_json(self) -> dict[str, Any]:
        """Gives the node as JSON data."""
        return dataclasses.asdict(self)

    def key(self) -> tuple[str, str]:
        """Gives what tells the node from all others."""
        return self.kind, self.name

    def freshness(self) -> tuple[bool, int, int]:
        """Orders views of the same node, the newest last."""
        return self.state != 'unlinked', self.incarnation, self.revision


@dataclasses.dataclass(slots=True, frozen=True)
class Fleet:
    """All nodes that are known.

    Attributes:
      nodes: By kind and name.
      complete: The store confirmed to some router which routers are live.
    """

    nodes: list[Node]
    complete: bool

    def linked(self) -> list[Node]:
        """Gives the nodes that some router sees now."""
        return [node for node in self.nodes if node.state != 'unlinked']

    def unlinked(self) -> list[Node]:
        """Gives the sidecars that no asked router holds a link to."""
        return [node for node in self.nodes if node.state == 'unlinked']

    def behind(self, revision: int) -> list[Node]:
        """Gives the linked nodes that do not show the revision yet."""
        return [node for node in self.linked() if node.revision < revision]


def _parse_nodes(body: Any) -> Iterator[Node]:
    """Yields the nodes of one answer; a router knows itself best."""
    for data in body['nodes']:
        node = Node(**data)
        if node.key() == ('router', body['node']):
            node = dataclasses.replace(node, revision=body['revision'])
        yield node


def _merge(nodes: Iterable[Node]) -> list[Node]:
    newest: dict[tuple[str, str], Node] = {}
    for node in nodes:
        known = newest.get(node.key())
        if known is None or known.freshness() < node.freshness():
            newest[node.key()] = node
    return [newest[key] for key in sorted(newest)]


async def fetch_fleet(client: router_client.RouterClient) -> Fleet:
    """Asks every router named and merges what they see.

    Raises:
      CommandError: None of them gave an answer.
    """
    responses = await client.get_from_all(exchange.path('nodes'))
    bodies = [resp.body for resp in responses if resp.status == 200]
    if not bodies:
        bodies = [await client.get(exchange.path('nodes'))]
    nodes = _merge(node for body in bodies for node in _parse_nodes(body))
    return Fleet(nodes, any(body['complete'] for body in bodies))


async def wait(
    client: router_client.RouterClient, revision: int, timeout_s: float
) -> tuple[Fleet, list[Node]]:
    """Looks until every linked node shows a revision, or the bound is up.

    A node that was linked at some look and lost its link before it showed
    the revision still counts: a paused process is dropped from the links,
    and wakes later with the old configuration.

    Returns:
      The fleet at the last look, and the nodes that do not show it.
    """
    deadline = time.monotonic() + timeout_s
    known_linked: set[tuple[str, str]] = set()
    while True:
        fleet = await fetch_fleet(client)
        known_linked.update(node.key() for node in fleet.linked())
        behind = [
            node
            for node in fleet.nodes
            if node.key() in known_linked and node.revision < revision
        ]
        done = fleet.complete and not behind
        if done or time.monotonic() + _POLL_INTERVAL_S > deadline:
            return fleet, behind
        await asyncio.sleep(_POLL_INTERVAL_S)
