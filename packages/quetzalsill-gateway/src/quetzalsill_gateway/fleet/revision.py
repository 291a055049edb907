"""Revisions that order everything a gateway learns from its sources.

A store numbers its changes. If it is restored from an older backup, it loses
the newest changes and assigns their version numbers again to other changes.
Each restore starts a new epoch, so only epoch and version together give an
order.
"""

from __future__ import annotations

import dataclasses

__all__ = ['MAX', 'NONE', 'Revision']

# Upper bound of epochs and versions. No source gets near it, so a larger value
# comes from a faulty sender.
MAX = 2**53


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Revision:
    """A point in the history of a source; later ones compare greater.

    Attributes:
      epoch: Number of times the source was restored from an older copy; 0 for
        a source that doesn't report epochs.
      version: Number of changes, continuing from that of the restored copy.
    """

    epoch: int
    version: int

    def __str__(self) -> str:
        """Returns the form used in log lines."""
        return (
            f'{self.epoch}/{self.version}' if self.epoch else f'{self.version}'
        )


# Lower than every revision of a source.
NONE = Revision(0, 0)
