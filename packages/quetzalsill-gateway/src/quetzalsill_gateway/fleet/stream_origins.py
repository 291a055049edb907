"""Which software version began each stream that callers may take up.

A caller comes back with its stream because its connection broke, often because
its gateway has just failed. So while a service has several versions, a gateway
publishes the origin of a stream to a few others before it sends the caller the
first event. With one version nothing is published.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import hashlib
from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet import software_versions

__all__ = [
    'KEY_BYTES',
    'MAX_ITEMS',
    'OriginUpdate',
    'Record',
    'StreamOrigins',
    'compute_key',
]

KEY_BYTES = 12
PART_LENGTH_BYTES = 4
MAX_RECORDS = 32_768
# Records in one datagram.
MAX_ITEMS = 48


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """The origin of one stream.

    Attributes:
      key: Identifies the stream (`compute_key`).
      origin: What generated its first event.
      expires_s: Loop time after which its caller no longer takes it up.
    """

    key: bytes
    origin: software_versions.Origin
    expires_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class OriginUpdate:
    """Origins that a gateway publishes to some others.

    Attributes:
      records: The origins.
      sender: Name of the sending gateway; set on receipt.
    """

    records: tuple[Record, ...]
    sender: str = dataclasses.field(default='', compare=False)


def compute_key(account: bytes | None, request_id: bytes) -> bytes:
    """Returns the key of the stream that began with a request.

    The hash is cryptographic: with another one, a client account could replace
    the records of others.

    Args:
      account: Name of the client account; None if callers need no key.
      request_id: Id of the request that brought the first event.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    name = account or b''
    digest.update(len(name).to_bytes(PART_LENGTH_BYTES))
    digest.update(name + request_id)
    return digest.digest()


class StreamOrigins:
    """The origins that this gateway knows, of its own streams and of others'.

    Bounded: the oldest record makes room. A stream whose origin was forgotten
    is not taken up.
    """

    def __init__(self, versions: software_versions.SoftwareVersions) -> None:
        self._versions = versions
        self._records: collections.OrderedDict[bytes, Record] = (
            collections.OrderedDict()
        )
        self._own: dict[bytes, None] = {}
        self._publish: Callable[[list[Record]], None] = lambda _: None
        self._find: Callable[[bytes, str], Awaitable[None]] | None = None
        versions.on_several(self._publish_service)

    def __len__(self) -> int:
        return len(self._records)

    def set_publisher(self, publish: Callable[[list[Record]], None]) -> None:
        """Sets the function that sends records to other gateways."""
        self._publish = publish

    def set_finder(self, find: Callable[[bytes, str], Awaitable[None]]) -> None:
        """Sets the function that asks other gateways.

        Args:
          find: Takes the key of a stream and the service that its caller asks
            for. What the others know is recorded when it returns.
        """
        self._find = find

    def get(self, key: bytes) -> software_versions.Origin | None:
        """Returns the origin of a stream, None if it is not known here."""
        record = self.get_record(key)
        return None if record is None else record.origin

    def get_record(self, key: bytes) -> Record | None:
        """Returns the record of a stream, None if it is not known here."""
        record = self._records.get(key)
        if record is None or record.expires_s < _now():
            return None
        return record

    async def find(self, key: bytes, service: str) -> None:
        """Asks the other gateways for the origin of a stream."""
        if self._find is not None:
            await self._find(key, service)

    def record(
        self, key: bytes, origin: software_versions.Origin, for_s: float
    ) -> None:
        """Records the origin of a stream of this gateway.

        Published while its service has several versions, and once it gets a
        second one.

        Args:
          key: Key of the stream.
          origin: What generates its first event.
          for_s: For how long its caller may take it up, in seconds.
        """
        if self.get(key) is not None:
            return
        record = Record(key, origin, _now() + for_s)
        self._put(record)
        self._own[key] = None
        if self._versions.has_several(origin.service):
            self._publish([record])

    def receive(self, update: OriginUpdate) -> None:
        """Records what another gateway has published.

        The first record of a stream stays: its origin never changes.
        """
        for record in update.records:
            if self.get(record.key) is None:
                self._put(record)

    def live(self) -> Iterator[tuple[Record, bool]]:
        """Yields the records of services with several versions.

        Each with whether this gateway has relayed the stream.
        """
        now = _now()
        for record in self._records.values():
            if record.expires_s >= now and self._versions.has_several(
                record.origin.service
            ):
                yield record, record.key in self._own

    def expire(self) -> None:
        """Drops the records that have expired."""
        now = _now()
        expired = [
            key
            for key, record in self._records.items()
            if record.expires_s < now
        ]
        self._discard(expired)

    def _put(self, record: Record) -> None:
        self._records[record.key] = record
        if len(self._records) > MAX_RECORDS:
            self._discard([next(iter(self._records))])

    def _discard(self, keys: Iterable[bytes]) -> None:
        for key in keys:
            del self._records[key]
            self._own.pop(key, None)

    def _publish_service(self, service: str) -> None:
        """Publishes the streams that began while it had one version."""
        records = [
            record
            for record, is_own in self.live()
            if is_own and record.origin.service == service
        ]
        if records:
            self._publish(records)


def _now() -> float:
    return asyncio.get_running_loop().time()
