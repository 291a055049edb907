"""Every event that a gateway writes to its log, with its fields.

One place for all, so that names and fields cannot drift apart between the
code, the page for operators and the command that explains a request. Code
writes `event.note(event.RequestEnded(...))`.
"""

from __future__ import annotations

from quetzalsill.telemetry.event import Event, name_of, note
from quetzalsill_gateway.event.process import (
    ConfigurationInstalled,
    ConfigurationInvalid,
    DatagramFailed,
    DatagramMalformed,
    DirectoryUnreachable,
    Listening,
    PeerFound,
    PeerLost,
    PeersListed,
    SettingsInvalid,
    SettingsReloaded,
    Stopped,
    Stopping,
    StoreHistoryLost,
    StoreLost,
    StoreRegained,
    VersionAhead,
    ZoneDrain,
    ZoneDrainInvalid,
)
from quetzalsill_gateway.event.request import (
    AttemptEnded,
    LegEnded,
    RequestEnded,
    RequestFault,
    RequestHeld,
    RequestMalformed,
    RequestRefused,
    UpstreamChosen,
)
from quetzalsill_gateway.event.upstream import (
    CopyNotFreed,
    EntryInvalid,
    EvacuationStarted,
    ReportFailed,
    RunBrokeOff,
    RunOrdered,
    UpstreamAdded,
    UpstreamLapsed,
    UpstreamLeaving,
    UpstreamRemoved,
    UpstreamStale,
)

__all__ = [
    'AttemptEnded',
    'ConfigurationInstalled',
    'ConfigurationInvalid',
    'DatagramFailed',
    'DatagramMalformed',
    'DirectoryUnreachable',
    'EntryInvalid',
    'CopyNotFreed',
    'EvacuationStarted',
    'Event',
    'LegEnded',
    'Listening',
    'PeerFound',
    'PeerLost',
    'PeersListed',
    'ReportFailed',
    'RequestEnded',
    'RequestFault',
    'RequestHeld',
    'RequestMalformed',
    'RequestRefused',
    'RunBrokeOff',
    'RunOrdered',
    'SettingsInvalid',
    'SettingsReloaded',
    'Stopped',
    'Stopping',
    'StoreHistoryLost',
    'StoreLost',
    'StoreRegained',
    'UpstreamAdded',
    'UpstreamChosen',
    'UpstreamLapsed',
    'UpstreamLeaving',
    'UpstreamRemoved',
    'UpstreamStale',
    'VersionAhead',
    'ZoneDrain',
    'ZoneDrainInvalid',
    'name_of',
    'note',
]
