"""How new it is what a gateway knows of its source.

A store counts its changes, and may lose the newest: it comes back from an older
copy, and the counts that it had given since are given out again, for other
changes. Each time it enters a new epoch. So a count alone doesn't order what is
known; epoch and count together do.
"""

from __future__ import annotations

import dataclasses

__all__ = ['MAX', 'NONE', 'Revision']

# No epoch and no version comes near it; a greater one is a fault of whoever
# tells it.
MAX = 2**53


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Revision:
    """A moment in the history of a source; later ones compare greater.

    Attributes:
      epoch: How often the source has come back from an older copy; 0 for a
        source that doesn't say.
      version: Count of changes within the epoch, from that of the copy on.
    """

    epoch: int
    version: int

    def __str__(self) -> str:
        """Returns its form in log lines."""
        return (
            f'{self.epoch}/{self.version}' if self.epoch else f'{self.version}'
        )


# Before every moment of a source.
NONE = Revision(0, 0)
