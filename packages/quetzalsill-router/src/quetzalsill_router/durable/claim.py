"""Claims: which request holds an idempotency key."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill.platform import table as platform_table
    from quetzalsill_router.durable import answer as durable_answer
    from quetzalsill_router.durable import entry as durable_entry
    from quetzalsill_router.durable import journal as durable_journal

__all__ = ['Claim', 'Claims']


@dataclasses.dataclass(slots=True)
class Claim:
    """The holder of an idempotency key.

    Attributes:
      request: Request that holds the key. If it is not the entry's own, the
        entry is a repeat and was settled as not run.
    """

    request: str


class Claims:
    """One row per idempotency key, inserted before the first dispatch."""

    def __init__(
        self,
        table: platform_table.Table,
        journal: durable_journal.Journal,
        answers: durable_answer.Answers,
    ) -> None:
        self._table = table
        self._journal = journal
        self._answers = answers

    async def claim(self, entry: durable_entry.Entry) -> Claim:
        """Claims the key of an accepted entry.

        A key whose holder was settled as not run passes to the entry.

        Raises:
          ConflictError: The key is held by a request with another digest;
            the entry was settled as not run.
          StoreUnavailableError: Not claimed; the entry was settled as not
            run and will never run.
          OutcomeUnknownError: Not claimed, and the platform is silent.
          SupersededError: Another router has taken the entry over.
        """
        raise NotImplementedError
