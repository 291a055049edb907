"""Averages over all engines of how long generations take."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from quetzalsill_gateway.fleet import engine_speed

if TYPE_CHECKING:
    from quetzalsill_gateway.fleet import upstream as upstream_lib

__all__ = ['EngineAverages', 'Reservation']

# Assumed time for which a generation holds memory, before any has ended: long
# ones run for about 8 s, short ones for less than one.
INITIAL_HELD_S = 5.0
# Weight of the newest generation of typical size in the moving averages.
GENERATION_WEIGHT = 0.05
TYPICAL_TOKENS = 4000
TYPICAL_OUTPUT_TOKENS = 800
# Assumed time per output token before any generation has ended: one step of an
# engine with a few runs, in some of which it also prefills a prompt.
INITIAL_TOKEN_S = 0.01
# Assumed prefill rate before any prompt was prefilled: a chunk of 112 tokens in
# a step of 16 ms.
INITIAL_PREFILL_TOKENS_PER_S = 7000.0
# Upper bound of a sample: an engine that has part of a prompt cached appears
# to be faster than it is.
MAX_PREFILL_TOKENS_PER_S = 50_000.0
PREFILL_WEIGHT = 0.03
# Runs in the largest batches take longer per token than others.
SLOW_RUN_FACTOR = 2.0
# Relative change of the running median of the time per token with each output.
MEDIAN_STEP = 0.02


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Memory that one generation is expected to hold at an engine.

    Attributes:
      prompt_tokens: Tokens to prefill before the first event.
      memory_tokens: Memory that it is expected to need at its end, in tokens.
      is_prefilling: Whether no event has arrived yet.
    """

    prompt_tokens: int = 0
    memory_tokens: int = 0
    is_prefilling: bool = True

    @property
    def output_tokens(self) -> int:
        """Expected length of the output, in tokens."""
        return self.memory_tokens - self.prompt_tokens


class EngineAverages:
    """Averages over all engines, and the estimated speed of each.

    Attributes:
      mean_held_s: Average time for which a token of memory is held.
      prefill_tokens_per_s: Average prefill rate of an engine that also
        generates.
      mean_token_s: Average time that a generation takes per expected output
        token.
      median_token_s: Median time per output token after the first event.
      engine_speeds: Estimated speed of each engine.
    """

    def __init__(self, speeds: engine_speed.EngineSpeeds | None = None) -> None:
        """Starts with assumed averages.

        Args:
          speeds: Estimated speed of each engine.
        """
        self.mean_held_s = INITIAL_HELD_S
        self.mean_token_s = INITIAL_TOKEN_S
        self.median_token_s = INITIAL_TOKEN_S
        self.prefill_tokens_per_s = INITIAL_PREFILL_TOKENS_PER_S
        self.engine_speeds = speeds or engine_speed.EngineSpeeds()

    def record_generation(
        self, reservation: Reservation, held_s: float
    ) -> None:
        """Updates the averages with the time a generation held its memory."""
        weight = GENERATION_WEIGHT * min(
            1.0, reservation.memory_tokens / TYPICAL_TOKENS
        )
        self.mean_held_s += weight * (held_s - self.mean_held_s)
        if reservation.output_tokens:
            token_s = held_s / reservation.output_tokens
            # The time of a short output is mostly the prefill of its prompt.
            weight = GENERATION_WEIGHT * min(
                1.0, reservation.output_tokens / TYPICAL_OUTPUT_TOKENS
            )
            self.mean_token_s += weight * (token_s - self.mean_token_s)

    def record_output(self, hint: int, took_s: float) -> None:
        """Updates the median time per token with a complete output.

        Hints are accurate at the median only. The mean of the time per hinted
        token would be far from the time per token.

        Args:
          hint: Number of tokens that the caller expected; 0 if unknown.
          took_s: Time from the first event to the end.
        """
        if hint and took_s > 0:
            is_slower = took_s > hint * self.median_token_s
            step = 1.0 + MEDIAN_STEP
            self.median_token_s *= step if is_slower else 1.0 / step

    def record_prefill(self, tokens: int, took_s: float) -> None:
        """Updates the prefill rate; an engine prefills prompts sequentially.

        Args:
          tokens: Prompt tokens of the request and of those queued ahead of it.
          took_s: Time from the send to the first event.
        """
        if took_s > 0:
            weight = PREFILL_WEIGHT * min(1.0, tokens / TYPICAL_TOKENS)
            rate = min(tokens / took_s, MAX_PREFILL_TOKENS_PER_S)
            self.prefill_tokens_per_s += weight * (
                rate - self.prefill_tokens_per_s
            )

    def prefill_s(
        self, tokens: int, upstream: upstream_lib.Upstream | None = None
    ) -> float:
        """Returns the expected time in seconds to prefill `tokens`.

        Args:
          tokens: Number of prompt tokens.
          upstream: Engine that prefills them. Its own speed is used only if the
            engines of its service differ; else the average over all engines.
        """
        if upstream is not None and self.engine_speeds.differ(upstream.service):
            per_s = self.engine_speeds.prefill_per_s(upstream)
            if per_s is not None:
                return tokens / per_s
        return tokens / self.prefill_tokens_per_s

    def generation_s(
        self,
        reservation: Reservation,
        upstream: upstream_lib.Upstream | None = None,
    ) -> float:
        """Returns the expected duration of a generation in seconds.

        Args:
          reservation: Memory that the generation is expected to need.
          upstream: Engine that runs it; see `prefill_s`.
        """
        duration_s = reservation.output_tokens * self.mean_token_s
        return duration_s * self._slowness(upstream)

    def longest_s(
        self,
        prefill_tokens: int,
        output_limit: int,
        upstream: upstream_lib.Upstream | None = None,
    ) -> float:
        """Returns the longest time that a generation is assumed to take.

        It counts from the send, in seconds, for an output of the maximum
        length; infinity if the output has no limit.

        Args:
          prefill_tokens: Prompt tokens to prefill until its first event, those
            ahead of its own included.
          output_limit: Maximum number of tokens to generate; 0 for no limit.
          upstream: Engine that runs it; see `prefill_s`.
        """
        if not output_limit:
            return math.inf
        output_s = SLOW_RUN_FACTOR * output_limit * self.median_token_s
        output_s *= self._slowness(upstream)
        return output_s + self.prefill_s(prefill_tokens, upstream)

    def _slowness(self, upstream: upstream_lib.Upstream | None) -> float:
        speeds = self.engine_speeds
        if upstream is None or not speeds.differ(upstream.service):
            return 1.0
        return speeds.slowness(upstream)
