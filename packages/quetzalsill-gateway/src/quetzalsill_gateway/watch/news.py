"""What a gateway that was answered by a source tells the others of it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet import upstream, zones

__all__ = ['EVERYTHING', 'ConfigurationNews', 'MembershipNews', 'News']

# Below every version of a source.
EVERYTHING = 0


@dataclasses.dataclass(slots=True, frozen=True)
class MembershipNews:
    """The membership, as far as it changed between two versions.

    Attributes:
      since: Version behind which every change is told; 0 if these are all
        entries that there are.
      version: Version up to which it is.
      changes: The changes, in the order of their versions.
      lapses_s: For how long yet an entry that is gone may come back, because
        the source has been away; 0 if it has not.
      is_echo: Whether it was told before: it says nothing of who watches now.
    """

    since: int
    version: int
    changes: tuple[upstream.Change, ...] = ()
    lapses_s: float = 0.0
    is_echo: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationNews:
    """The newest configuration.

    Attributes:
      version: Version of the source up to which there is no newer one.
      configuration: Number of the configuration.
      patch: For a while after a change, what makes the document of the one
        before it; empty if that is too much for a datagram.
      drains: The operators' orders for availability zones, all of them.
      is_echo: Whether it was told before: it says nothing of who watches now.
    """

    version: int
    configuration: int
    patch: bytes = b''
    drains: tuple[zones.Drain, ...] = ()
    is_echo: bool = False


News = MembershipNews | ConfigurationNews
