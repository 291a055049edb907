"""History of the attempts of a request."""

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
    """State of the attempt loop.

    Attributes:
      refused: Upstreams that refused; skipped until the next round.
      failed: Upstreams whose attempt failed; used only if no other is left.
      retries: Number of further dispatches so far.
      moves: Number of withdrawals in favour of another upstream so far.
      retry_after_hints: Retry delays that refusals specified, in seconds.
      last_error: The latest failure.
      revision: Configuration revision of the latest attempt.
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
        """Returns the eligible peers, failed ones only if no other is left."""
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
        """Records a failed attempt and the upstream to avoid next."""
        self.last_error = ended.error
        if ended.ran is not base.Ran.NO:
            self.failed.add(upstream)
            return
        if ended.not_received:
            # The Dispatch was lost with a link that stopped responding. The
            # sidecar did not refuse it and may be the only one available.
            return
        self.refused.add(upstream)
        if ended.error.retry_after_s is not None:
            self.retry_after_hints.append(ended.error.retry_after_s)

    def no_upstream_error(self) -> request_error.RequestError:
        """Builds the error for when no eligible upstream is left."""
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
        """Makes all upstreams that refused eligible again."""
        self.refused.clear()
        self.retry_after_hints.clear()
