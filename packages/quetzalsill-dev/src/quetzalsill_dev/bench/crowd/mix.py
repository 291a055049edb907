"""Request mixes: accounts, kinds, lengths and arrival times."""

from __future__ import annotations

import dataclasses
import math
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ['MIXES', 'Kind', 'Mix', 'Request', 'arrivals', 'greedy_arrivals']

CHARACTERS_PER_TOKEN = 4
GREEDY_FACTOR = 10


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """One kind of request.

    Attributes:
      name: Name in the results.
      share: Fraction of all requests.
      accounts: Client accounts that send it, chosen at random.
      profile: Requested profile.
      prompt_tokens: Length of its prompt, in tokens.
      median: Median of its answer's length, in tokens.
      sigma: Standard deviation of the logarithm of the length.
      longest: Upper bound of the length, in tokens.
    """

    name: str
    share: float
    accounts: tuple[str, ...]
    profile: str
    prompt_tokens: int
    median: float
    sigma: float
    longest: int


@dataclasses.dataclass(slots=True, frozen=True)
class Mix:
    """Traffic of one example user."""

    name: str
    kinds: tuple[Kind, ...]

    @property
    def accounts(self) -> set[str]:
        """Returns all client accounts that send requests."""
        return {name for kind in self.kinds for name in kind.accounts}


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a run.

    Attributes:
      at_s: When it is sent, in seconds from the start.
      kind: Kind of request.
      account: Client account that sends it.
      tokens: Length of its answer.
      prompt: Prompt, which tells the stand-in the length of the answer.
    """

    at_s: float
    kind: Kind
    account: str
    tokens: int
    prompt: str


DEPOTS = ('lekki-depot', 'surulere-depot', 'yaba-depot')
STUDIOS = ('studio-one', 'studio-two', 'studio-three')
MIXES = {
    'board': Mix(
        'board',
        (
            Kind('slot query', 0.70, ('retailers', 'canteens'), 'prompt',
                 16, 24, 0.6, 256),
            Kind('audit note', 0.18, DEPOTS, 'verdict', 32, 40, 0.7, 400),
            Kind('loading plan', 0.12, DEPOTS, 'patient',
                 120, 260, 1.0, 1500),
        ),
    ),
    'noorani': Mix(
        'noorani',
        (
            Kind('proof', 0.55, ('portals', 'small-portal'), 'prompt',
                 12, 16, 0.5, 128),
            Kind('tag check', 0.25, STUDIOS, 'verdict', 48, 24, 0.6, 200),
            Kind('scene brief', 0.20, STUDIOS, 'patient',
                 80, 220, 1.1, 1500),
        ),
    ),
}  # fmt: skip


def greedy_arrivals(
    mix: Mix, rate: float, length_s: float, seed: int
) -> list[Request]:
    """Returns arrivals in which one account sends ten times its share."""
    requests = list(arrivals(mix, rate, length_s, seed))
    prompt = mix.kinds[0]
    large = dataclasses.replace(prompt, accounts=prompt.accounts[:1])
    extra = Mix(mix.name, (large,))
    added = rate * prompt.share / len(prompt.accounts) * (GREEDY_FACTOR - 1)
    requests += arrivals(extra, added, length_s, seed + 1000)
    return sorted(requests, key=lambda request: request.at_s)


def arrivals(
    mix: Mix, rate: float, length_s: float, seed: int
) -> Iterator[Request]:
    """Yields Poisson arrivals with heavy-tailed lengths.

    Args:
      mix: Request mix.
      rate: Requests per second.
      length_s: Length of the run in seconds.
      seed: The same seed yields the same requests.
    """
    rng = random.Random(f'{mix.name}/{seed}')
    at_s = rng.expovariate(rate)
    while at_s < length_s:
        yield _draw_request(mix, at_s, rng)
        at_s += rng.expovariate(rate)


def _draw_request(mix: Mix, at_s: float, rng: random.Random) -> Request:
    weights = [kind.share for kind in mix.kinds]
    (kind,) = rng.choices(mix.kinds, weights)
    drawn = rng.lognormvariate(math.log(kind.median), kind.sigma)
    tokens = min(max(int(drawn), 2), kind.longest)
    unique = f'{rng.getrandbits(32):08x} [[tokens={tokens}]] '
    filler = kind.prompt_tokens * CHARACTERS_PER_TOKEN - len(unique)
    prompt = unique + 'x' * max(0, filler)
    return Request(at_s, kind, rng.choice(kind.accounts), tokens, prompt)
