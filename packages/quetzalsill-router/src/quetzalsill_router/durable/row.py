"""The platform's row of one log: its router's registration as well."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING, Any

from quetzalsill.platform import error as platform_error
from quetzalsill.platform import table as platform_table
from quetzalsill.telemetry import log as telemetry_log
from quetzalsill_router.durable import error

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = [
    'LogRow',
    'TABLE',
    'VersionedRow',
    'compare_and_set',
    'parse',
    'read',
    'scan',
]

TABLE = 'routers'

LOG = telemetry_log.get(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class LogRow:
    """A log and the router that writes it.

    Attributes:
      node: Name of the router.
      incarnation: Incarnation of the router.
      epoch: Grows with each log of an incarnation.
      address: IP:PORT of the router's HTTP listener.
      availability_zone: Availability zone of its entry host.
      revision: Configuration in force there.
      ttl_s: Time without a renewal after which the router counts as dead.
      first: Least segment that has not expired.
      last: Newest segment at the last renewal.
      released: The router has stopped; the log may be taken at once.
      keeper: Log to which the entries were moved; empty while it is open.
    """

    node: str
    incarnation: int
    epoch: int
    address: str
    availability_zone: str
    revision: int
    ttl_s: float
    first: int = 1
    last: int = 0
    released: bool = False
    keeper: str = ''

    @property
    def log(self) -> str:
        """Gives the name of the log, which is the key of the row."""
        return f'{self.node}.{self.incarnation}.{self.epoch}'


FIELD_NAMES = {field.name for field in dataclasses.fields(LogRow)}


@dataclasses.dataclass(slots=True, frozen=True)
class VersionedRow:
    """A row and the version at which it stands."""

    version: int
    row: LogRow


def parse(value: Any) -> LogRow:
    """Checks the value of a row.

    Keys that are not known are left out: while versions of the router are
    mixed, an older one must still take the log of a newer one over.

    Raises:
      MalformedRowError: It is not the row of a log.
    """
    try:
        return LogRow(
            **{name: value[name] for name in FIELD_NAMES & value.keys()}
        )
    except (AttributeError, TypeError) as exc:
        raise error.MalformedRowError(str(exc)) from exc


async def read(table: platform_table.Table, log: str) -> VersionedRow | None:
    """Reads the row of a log; None if it is absent."""
    found = await table.get(TABLE, log)
    return found and VersionedRow(found.version, parse(found.value))


async def scan(table: platform_table.Table) -> list[VersionedRow]:
    """Reads the rows of all logs; leaves malformed ones out."""
    rows = await table.scan(TABLE)
    return list(itertools.chain.from_iterable(map(_parse_if_valid, rows)))


def _parse_if_valid(found: platform_table.KeyedRow) -> Iterator[VersionedRow]:
    try:
        yield VersionedRow(found.version, parse(found.value))
    except error.MalformedRowError as exc:
        LOG.error('row_malformed', key=found.key, why=exc)


async def compare_and_set(
    table: platform_table.Table,
    log: str,
    update: Callable[[LogRow], LogRow | None],
) -> LogRow | None:
    """Changes a row by compare-and-set.

    Args:
      table: Client of the table.
      log: Name of the log.
      update: Gives the new row, or None to leave it as it is. After a lost
        answer it may be asked again about a row that it made.

    Returns:
      The row as it stands now; None if it is absent.

    Raises:
      PlatformUnavailableError, PlatformAnswerLostError: To be repeated.
    """
    while True:
        found = await read(table, log)
        new = update(found.row) if found else None
        if new is None:
            return found and found.row
        condition = platform_table.Condition(TABLE, log, found.version)
        write = platform_table.Write(TABLE, log, dataclasses.asdict(new))
        try:
            await table.transact([condition], [write])
        except platform_error.ConditionFailedError:
            continue
        return new
