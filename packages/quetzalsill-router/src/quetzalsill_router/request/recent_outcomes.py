"""Outcomes of requests that no journal keeps."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzalsill_router.durable import answer as durable_answer

__all__ = ['RecentOutcomes']

MAX_OUTCOMES = 1000


class RecentOutcomes:
    """Outcomes that this router learned after it had said "unknown".

    A caller without an idempotency key can ask this router for them, for
    as long as it lives and newer ones do not push them out.
    """

    def __init__(self) -> None:
        self._answers: collections.OrderedDict[
            tuple[str, str], durable_answer.Answer
        ] = collections.OrderedDict()

    def put(
        self, account: str, request: str, answer: durable_answer.Answer
    ) -> None:
        """Keeps the outcome of an account's request."""
        self._answers[account, request] = answer
        if len(self._answers) > MAX_OUTCOMES:
            self._answers.popitem(last=False)

    def get(self, account: str, request: str) -> durable_answer.Answer | None:
        """Returns the outcome; None if it is not kept here."""
        return self._answers.get((account, request))
