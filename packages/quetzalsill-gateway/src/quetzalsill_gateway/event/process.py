"""Log events of the gateway process, its sources and its peers."""

from __future__ import annotations

from quetzalsill.telemetry import event as base

__all__ = [
    'AnswerMalformed',
    'AnswerStale',
    'ConfigurationInstalled',
    'ConfigurationInvalid',
    'ConfigurationKept',
    'ConfigurationReplaced',
    'DatagramFailed',
    'DatagramMalformed',
    'DirectoryUnreachable',
    'EpochEntered',
    'EpochTold',
    'Listening',
    'PeerFound',
    'PeerLost',
    'PeersListed',
    'SettingsInvalid',
    'SettingsReloaded',
    'SoftwareVersionsLoaded',
    'SoftwareVersionsStored',
    'Stopped',
    'Stopping',
    'StoreHistoryLost',
    'StoreLost',
    'StoreRegained',
    'TableListed',
    'VersionAhead',
    'ZoneDrain',
    'ZoneDrainInvalid',
]


@base.define
class ConfigurationInstalled(base.Event):
    """A version of the configuration became active.

    Attributes:
      version: The new version.
      before: The previous version; 0 for none.
      hosts: Number of hosts with routes.
      services: Number of services.
    """

    version: int
    before: int
    hosts: int
    services: int


@base.define
class ConfigurationInvalid(base.Event, level='error'):
    """A configuration is invalid; the previous version stays active.

    Attributes:
      reason: What is wrong.
      advice: How to fix it.
    """

    reason: str
    advice: str


@base.define
class StoreLost(base.Event, level='warning'):
    """The store of configuration or membership does not respond.

    Attributes:
      table: Which of its tables.
      reason: Error code.
    """

    table: str
    reason: str


@base.define
class StoreRegained(base.Event):
    """The store responds again.

    Attributes:
      table: Which of its tables.
    """

    table: str


@base.define
class StoreHistoryLost(base.Event):
    """The store has compacted its history; the table is listed again.

    Attributes:
      table: Which of its tables.
      after: Version up to which all changes are known.
    """

    table: str
    after: str


@base.define
class VersionAhead(base.Event, level='warning'):
    """The known version is newer than the store's; the table is listed again.

    Attributes:
      table: Which of its tables.
      known: Version known here.
      found: Version of the store.
    """

    table: str
    known: str
    found: str


@base.define
class EpochEntered(base.Event, level='warning'):
    """The store reports that it lost recent changes; all tables are relisted.

    Attributes:
      call: Call whose response reported the epoch.
      before: Previous epoch of the store.
      epoch: New epoch; a lower one shows that `before` was reported in error.
    """

    call: str
    before: int
    epoch: int


@base.define
class EpochTold(base.Event):
    """A peer announced a newer epoch than the store has reported here.

    Attributes:
      table: Table that the update is for.
      peer: Name of the peer.
      known: Revision known here.
      told: Revision that the peer announced.
    """

    table: str
    peer: str
    known: str
    told: str


@base.define
class TableListed(base.Event):
    """A snapshot of a table was applied, for an epoch that is new here.

    Attributes:
      table: Which of the store's tables.
      source: `store`, or the gateway that sent the snapshot.
      known: Previous revision.
      found: Revision of the snapshot.
      entries: Number of entries.
    """

    table: str
    source: str
    known: str
    found: str
    entries: int


@base.define
class SoftwareVersionsLoaded(base.Event):
    """The stored software versions were read.

    Attributes:
      epoch: Epoch of the store.
      services: Number of services with a row.
      versions: Service and versions of each row, such as `a=v1+v2`, separated
        by commas.
    """

    epoch: int
    services: int
    versions: str


@base.define
class SoftwareVersionsStored(base.Event):
    """The software versions of a service are stored.

    Attributes:
      service: The service.
      versions: Its versions, separated by commas.
      epoch: Epoch in which they were stored; None if the row doesn't say it.
      by: Gateway that stored them; empty if they were read.
    """

    service: str
    versions: str
    epoch: int | None
    by: str


@base.define
class AnswerStale(base.Event):
    """A response is of an epoch that has ended; logged at most once a minute.

    Attributes:
      call: The call.
      known: Epoch that the store reported before.
      told: Epoch of the response.
    """

    call: str
    known: int
    told: int


@base.define
class AnswerMalformed(base.Event, level='error'):
    """A store response was ignored as malformed; logged once a minute at most.

    Attributes:
      call: The call.
      reason: Which field is wrong, and how.
      advice: How to fix it.
    """

    call: str
    reason: str
    advice: str


@base.define
class ConfigurationKept(base.Event, level='warning'):
    """The store holds an older configuration than the active one.

    Attributes:
      version: The active version, which is kept.
      found: The version in the store.
    """

    version: int
    found: int


@base.define
class ConfigurationReplaced(base.Event, level='error'):
    """Two configurations have the same version; the one written last is used.

    Attributes:
      version: The version of both.
      before: Revision at which the replaced one was written.
      written: Revision at which the new one was written.
      advice: How to fix it.
    """

    version: int
    before: str
    written: str
    advice: str


@base.define
class PeersListed(base.Event):
    """The directory of gateways was read.

    Attributes:
      listed: Number of other gateways in it.
    """

    listed: int


@base.define
class DirectoryUnreachable(base.Event):
    """The directory of gateways did not respond.

    Attributes:
      reason: Error code.
    """

    reason: str


@base.define
class PeerFound(base.Event):
    """A peer gateway was discovered.

    Attributes:
      peer: Name of the peer.
      peers: Number of known peers.
    """

    peer: str
    peers: int


@base.define
class PeerLost(base.Event):
    """A peer gateway timed out.

    Attributes:
      peer: Name of the peer.
      peers: Number of known peers.
    """

    peer: str
    peers: int


@base.define
class DatagramFailed(base.Event, level='debug'):
    """The kernel reported that a datagram could not be delivered.

    Attributes:
      reason: The kernel's error.
    """

    reason: str


@base.define
class DatagramMalformed(base.Event):
    """A datagram from a peer was ignored as malformed.

    Attributes:
      source: IP address of the sender.
      reason: What is wrong.
    """

    source: str
    reason: str


@base.define
class Listening(base.Event):
    """The gateway accepts connections.

    Attributes:
      port: Port for callers.
    """

    port: int


@base.define
class Stopping(base.Event):
    """A stop signal was received; callers are accepted until `leave_s`.

    Attributes:
      open: Number of open connections of callers.
    """

    open: int


@base.define
class Stopped(base.Event):
    """The gateway has shut down.

    Attributes:
      cut: Number of requests that were ended unfinished.
      took_s: Time since the signal.
    """

    cut: int
    took_s: float


@base.define
class SettingsReloaded(base.Event):
    """Changed settings were reloaded.

    Attributes:
      changed: Keys that took effect.
      at_next_start: Changed keys that take effect at the next start.
    """

    changed: str
    at_next_start: str


@base.define
class SettingsInvalid(base.Event, level='error'):
    """Changed settings are invalid; the previous ones stay active.

    Attributes:
      faults: What is wrong, by key.
    """

    faults: str


@base.define
class ZoneDrain(base.Event):
    """Operators started or ended the drain of an availability zone.

    Attributes:
      zone: Name of the zone.
      is_on: Whether its upstreams receive nothing new from now on.
      version: Source version at which the drain was written or removed.
    """

    zone: str
    is_on: bool
    version: str


@base.define
class ZoneDrainInvalid(base.Event, level='error'):
    """A drain entry names no availability zone and is ignored.

    Attributes:
      key: Key of the entry, shortened.
      reason: What is wrong.
      advice: How to fix it.
    """

    key: str
    reason: str
    advice: str
