"""Updates that a gateway sends to its peers after polling a source."""

from __future__ import annotations

import dataclasses

from quetzalsill_gateway.fleet import revision as revision_lib
from quetzalsill_gateway.fleet import upstream, zones

__all__ = ['BEGINNING', 'ConfigurationUpdate', 'MembershipUpdate', 'Update']

# Before every revision of a source.
BEGINNING = revision_lib.NONE


@dataclasses.dataclass(slots=True, frozen=True)
class MembershipUpdate:
    """The changes of the membership between two revisions.

    Attributes:
      since: Revision after which every change is included; `BEGINNING` for a
        snapshot of all entries.
      revision: Revision up to which the update is complete.
      changes: The changes, in the order of their revisions.
      grace_s: For how much longer a removed entry may reappear, since the
        source has been unavailable; 0 if it has not.
      is_repeat: Whether the update was sent before; a repeat does not show that
        the sender is polling now.
      sender: Name of the sending gateway; set on receipt.
    """

    since: revision_lib.Revision
    revision: revision_lib.Revision
    changes: tuple[upstream.Change, ...] = ()
    grace_s: float = 0.0
    is_repeat: bool = False
    sender: str = dataclasses.field(default='', compare=False)

    @property
    def is_snapshot(self) -> bool:
        """Whether all entries are included."""
        return self.since == BEGINNING


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationUpdate:
    """The newest configuration.

    Attributes:
      revision: Revision of the source up to which there is no newer
        configuration.
      number: Number of the configuration.
      patch: For a while after a change, a patch from the previous document;
        empty if it does not fit a datagram.
      drains: All drain orders for availability zones.
      is_repeat: Whether the update was sent before; a repeat does not show that
        the sender is polling now.
      mod_revision: Revision at which the configuration was written.
      digest: Distinguishes the document from another with the same number;
        empty if the sender does not report it.
      sender: Name of the sending gateway; set on receipt.
    """

    revision: revision_lib.Revision
    number: int
    patch: bytes = b''
    drains: tuple[zones.Drain, ...] = ()
    is_repeat: bool = False
    mod_revision: revision_lib.Revision = revision_lib.NONE
    digest: bytes = b''
    sender: str = dataclasses.field(default='', compare=False)


Update = MembershipUpdate | ConfigurationUpdate
