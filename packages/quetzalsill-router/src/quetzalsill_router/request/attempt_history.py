"""What the earlier attempts of a request have taught."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from quetzalsill.error import base
from quetzalsill.error import request as request_error

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzalsill_router.peer import peer as peer_module
    from quetzalsill_router.request import outcome

__all__ = ['DEFAULT_RETRY_AFTER_S', 'AttemptHistory']

DEFAULT_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class AttemptHistory:
    """State of the loop of attempts.

    Attributes:
      refused: Upstreams that refused; not asked again in this round.
      failed: Upstreams whose attempt failed; asked only if none is left.
      retries: Further dispatches so far.
      moves: Withdrawals in favour of another upstream so far.
      retry_after_hints: Times to come back that refusals named, in seconds.
      last_error: The latest failure.
      revision: Configuration under which the latest attempt was sent.
    """

    refused: set[str] = dataclasses.field(default_factory=set)
    failed: set[str] = dataclasses.field(default_factory=set)
    retries: int = 0
    moves: int = 0
    retry_after_hints: list[float] = dataclasses.field(default_factory=list)
    last_error: request_error.RequestError | None = None
    revision: int = 0

    def usable(
        self, candidates: Iterable[peer_module.Peer]
    ) -> list[peer_module.Peer]:
        """Returns the peers that may be asked; those that failed last."""
        usable = [
            peer
            for peer in candidates
            if peer.linked
            and not peer.leaving
            and peer.upstream not in self.refused
        ]
        fresh = [peer for peer in usable if peer.upstream not in self.failed]
        return fresh or usable

    def record(self, upstream: str, ended: outcome.Outcome) -> None:
        """Remembers which upstream not to ask at once again."""
        self.last_error = ended.error
        if ended.ran is not base.Ran.NO:
            self.failed.add(upstream)
            return
        if ended.not_received:
            # Its Dispatch was lost with a link that had gone silent. The
            # sidecar refused nothing, and may be the only one there is.
            return
        self.refused.add(upstream)
        if ended.error.retry_after_s is not None:
            self.retry_after_hints.append(ended.error.retry_after_s)

    def no_upstream_error(self) -> request_error.RequestError:
        """Builds the failure when no upstream is left to ask."""
        if self.last_error is None:
            return request_error.NoUpstreamError(
                'no live upstream serves it',
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        retry_after_s = min(
            self.retry_after_hints, default=DEFAULT_RETRY_AFTER_S
        )
        return request_error.OverloadedError(
            f'no upstream took it: {self.last_error.detail}',
            retry_after_s=retry_after_s,
        )

    def next_round(self) -> None:
        """Lets every upstream be asked again."""
        self.refused.clear()
        self.retry_after_hints.clear()
