"""What a gateway that was answered by a source tells the others of it."""

from __future__ import annotations

import dataclasses

from quetzalsill_gateway.fleet import revision as revision_lib
from quetzalsill_gateway.fleet import upstream, zones

__all__ = ['EVERYTHING', 'ConfigurationNews', 'MembershipNews', 'News']

# Below every revision of a source.
EVERYTHING = revision_lib.NONE


@dataclasses.dataclass(slots=True, frozen=True)
class MembershipNews:
    """The membership, as far as it changed between two revisions.

    Attributes:
      since: Revision behind which every change is told; `EVERYTHING` if these
        are all entries that there are.
      revision: Revision up to which it is.
      changes: The changes, in the order of their revisions.
      lapses_s: For how long yet an entry that is gone may come back, because
        the source has been away; 0 if it has not.
      is_echo: Whether it was told before: it says nothing of who watches now.
      teller: Name of the gateway that tells it, once it was sent.
    """

    since: revision_lib.Revision
    revision: revision_lib.Revision
    changes: tuple[upstream.Change, ...] = ()
    lapses_s: float = 0.0
    is_echo: bool = False
    teller: str = dataclasses.field(default='', compare=False)

    @property
    def is_whole(self) -> bool:
        """Whether all entries are told."""
        return self.since == EVERYTHING


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationNews:
    """The newest configuration.

    Attributes:
      revision: Revision of the source up to which there is no newer one.
      configuration: Number of the configuration.
      patch: For a while after a change, what makes the document of the one
        before it; empty if that is too much for a datagram.
      drains: The operators' orders for availability zones, all of them.
      is_echo: Whether it was told before: it says nothing of who watches now.
      written: Revision at which the configuration was written.
      digest: Tells its document from another of the same number; empty if the
        teller doesn't say.
      teller: Name of the gateway that tells it, once it was sent.
    """

    revision: revision_lib.Revision
    configuration: int
    patch: bytes = b''
    drains: tuple[zones.Drain, ...] = ()
    is_echo: bool = False
    written: revision_lib.Revision = revision_lib.NONE
    digest: bytes = b''
    teller: str = dataclasses.field(default='', compare=False)


News = MembershipNews | ConfigurationNews
