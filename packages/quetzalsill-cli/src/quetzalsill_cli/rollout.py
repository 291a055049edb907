"""Tracks which revision is active on each node."""

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
    """A router or sidecar, as seen by the queried routers.

    Attributes:
      name: Node name of a router; upstream name of a sidecar.
      kind: `router` or `sidecar`.
      state: `live`, `leaving` or `unlinked`.
      availability_zone: Availability zone of the node.
      address: IP:PORT that it listens on.
      incarnation: Incarnation number of the process; 0 if unknown.
      revision: Revision that is active there; 0 if unknown.
      load: Latest load of a sidecar, as JSON data; None if unknown.
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
        """Returns the node as JSON data."""
        return dataclasses.asdict(self)

    def key(self) -> tuple[str, str]:
        """Returns the unique key of the node: its kind and name."""
        return self.kind, self.name

    def freshness(self) -> tuple[bool, int, int]:
        """Returns a sort key for views of the same node, the latest last."""
        return self.state != 'unlinked', self.incarnation, self.revision


@dataclasses.dataclass(slots=True, frozen=True)
class Fleet:
    """All known nodes.

    Attributes:
      nodes: Sorted by kind and name.
      complete: Some router could read the live routers from the store.
    """

    nodes: list[Node]
    complete: bool

    def linked(self) -> list[Node]:
        """Returns the nodes that are linked to some queried router."""
        return [node for node in self.nodes if node.state != 'unlinked']

    def unlinked(self) -> list[Node]:
        """Returns the sidecars that are linked to no queried router."""
        return [node for node in self.nodes if node.state == 'unlinked']

    def behind(self, revision: int) -> list[Node]:
        """Returns the linked nodes with an older revision."""
        return [node for node in self.linked() if node.revision < revision]


def _parse_nodes(body: Any) -> Iterator[Node]:
    """Yields the nodes of a response; takes a router's revision from itself."""
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
    """Queries all routers and merges their views.

    Raises:
      CommandError: No router responded successfully.
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
    """Polls until every linked node has a revision, or the timeout expires.

    A node that was linked at some poll and lost its link before it had the
    revision still counts as behind: a paused process loses its links, and
    resumes later with the old configuration.

    Returns:
      The fleet at the last poll, and the nodes that have an older revision.
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
