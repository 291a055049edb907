"""What a gateway that was answered by a source tells the others of it."""

from __future__ import annotations

import dataclasses

from quetzalsill_gateway.fleet import revision as revision_lib
from quetzalsill_gateway.fleet import upstream, zones

__all__ = ['BEGINNING', 'ConfigurationUpdate', 'MembershipUpdate', 'Update']

# Below every revision of a source.
BEGINNING = revision_lib.NONE


@dataclasses.dataclass(slots=True, frozen=True)
class MembershipUpdate:
    """The membership, as far as it changed between two revisions.

    Attributes:
      since: Revision behind which every change is told; `BEGINNING` if these
        are all entries that there are.
      revision: Revision up to which it is.
      changes: The changes, in the order of their revisions.
      grace_s: For how long yet an entry that is gone may come back, because
        the source has been away; 0 if it has not.
      is_repeat: Whether it was told before: it says nothing of who watches now.
      sender: Name of the gateway that tells it, once it was sent.
    """

    since: revision_lib.Revision
    revision: revision_lib.Revision
    changes: tuple[upstream.Change, ...] = ()
    grace_s: float = 0.0
    is_repeat: bool = False
    sender: str = dataclasses.field(default='', compare=False)

    @property
    def is_snapshot(self) -> bool:
        """Whether all entries are told."""
        return self.since == BEGINNING


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationUpdate:
    """The newest configuration.

    Attributes:
      revision: Revision of the source up to which there is no newer one.
      number: Number of the configuration.
      patch: For a while after a change, what makes the document of the one
        before it; empty if that is too much for a datagram.
      drains: The operators' orders for availability zones, all of them.
      is_repeat: Whether it was told before: it says nothing of who watches now.
      mod_revision: Revision at which the configuration was written.
      digest: Tells its document from another of the same number; empty if the
        teller doesn't say.
      sender: Name of the gateway that tells it, once it was sent.
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
