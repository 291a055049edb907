"""Late outcomes of requests that are not journalled."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_router.durable import answer as durable_answer

__all__ = ['RecentOutcomes']

MAX_OUTCOMES = 1000


class RecentOutcomes:
    """Outcomes that this router received after it had reported "unknown".

    A caller without an idempotency key can fetch them from this router until
    it restarts or newer outcomes evict them.
    """

    def __init__(self) -> None:
        self._answers: collections.OrderedDict[
            tuple[str, str], durable_answer.Answer
        ] = collections.OrderedDict()

    def put(
        self, account: str, request: str, answer: durable_answer.Answer
    ) -> None:
        """Stores the outcome of an account's request."""
        self._answers[account, request] = answer
        if len(self._answers) > MAX_OUTCOMES:
            self._answers.popitem(last=False)

    def get(self, account: str, request: str) -> durable_answer.Answer | None:
        """Returns the outcome; None if it is not stored here."""
        return self._answers.get((account, request))
