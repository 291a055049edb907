"""Cache of prompt prefixes in the engine's KV cache.

A prompt is split into blocks. The name of a block is the digest of the prompt
up to its end, so that equal names mean equal prefixes. Running sequences share
blocks, which count their holders. A block without holders is idle and stays
cached until its space is needed; the longest idle block is evicted first.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

__all__ = [
    'BLOCK_TOKENS',
    'CHARACTERS_PER_TOKEN',
    'CacheEvent',
    'PrefixCache',
    'block_names',
    'count_tokens',
]

CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = 64
BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
NAME_LENGTH = 16


def count_tokens(prompt: str) -> int:
    """Returns the number of tokens of a prompt, at least one."""
    return max(-(-len(prompt) // CHARACTERS_PER_TOKEN), 1)


def block_names(prompt: str) -> Iterator[str]:
    """Yields the names of the complete blocks of a prompt, in order."""
    digest = hashlib.sha256()
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        block = prompt[end - BLOCK_CHARACTERS : end]
        digest.update(block.encode(errors='surrogatepass'))
        yield digest.copy().hexdigest()[:NAME_LENGTH]


@dataclasses.dataclass(slots=True, frozen=True)
class CacheEvent:
    """A block was added to the cache or evicted from it."""

    prefix: str
    cached: bool


class PrefixCache:
    """Cached blocks with their holders.

    Attributes:
      held_tokens: Tokens of the blocks that running sequences hold.
      idle_tokens: Tokens of the blocks without holders.
    """

    def __init__(self, on_event: Callable[[CacheEvent], None]) -> None:
        self._on_event = on_event
        self._holders: dict[str, int] = {}
        self._idle: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    @property
    def held_tokens(self) -> int:
        """Tokens of the blocks that running sequences hold."""
        return BLOCK_TOKENS * len(self._holders)

    @property
    def idle_tokens(self) -> int:
        """Tokens of the blocks without holders."""
        return BLOCK_TOKENS * len(self._idle)

    def growth(self, blocks: Sequence[str]) -> int:
        """Returns by how much holding `blocks` would raise `held_tokens`."""
        return BLOCK_TOKENS * sum(name not in self._holders for name in blocks)

    def hold(self, blocks: Sequence[str]) -> int:
        """Holds blocks; returns how many of the first ones were cached."""
        hits = 0
        for position, name in enumerate(blocks):
            cached = name in self._holders or name in self._idle
            hits += cached and hits == position
            self._idle.pop(name, None)
            self._holders[name] = self._holders.get(name, 0) + 1
            if not cached:
                self._on_event(CacheEvent(name, True))
        return hits

    def release(self, blocks: Sequence[str]) -> None:
        """Releases blocks; those without another holder become idle.

        The last block becomes idle first, as it is useless without those
        before it.
        """
        for name in reversed(blocks):
            self._holders[name] -= 1
            if not self._holders[name]:
                del self._holders[name]
                self._idle[name] = None

    def shrink_idle(self, tokens: int) -> None:
        """Evicts the longest idle blocks until at most `tokens` are idle."""
        while self.idle_tokens > max(tokens, 0):
            name, _ = self._idle.popitem(last=False)
            self._on_event(CacheEvent(name, False))
