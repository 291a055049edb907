"""Plays one day of the users' bench on one checkout, and reads its report.

The only module that knows the bench. Processor time is not charged, and the
same code at the same seed repeats; but any change moves one seed by about 0.01
of worth by chance, so that a difference needs many pairs.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import pathlib

__all__ = ['Figures', 'Play', 'PlayError', 'play', 'read']

# What the bench measures of the machine rather than of the decisions.
UNCERTAIN_PRICES = frozenset(
    ('processor seconds', 'memory, GB x seconds', 'machine-seconds')
)


class PlayError(Exception):
    """The bench has left no report."""


@dataclasses.dataclass(slots=True, frozen=True)
class Play:
    """One run of the bench.

    Attributes:
      way: Folder of a checkout.
      site: Site file.
      day: Name of a day, or a file of one.
      seed: Seed of the day.
      is_small: Whether its small twin is played.
    """

    way: pathlib.Path
    site: pathlib.Path
    day: str
    seed: int
    is_small: bool = False

    @property
    def key(self) -> tuple[str, str, int]:
        """What two ways have in common."""
        return self.site.stem, pathlib.Path(self.day).stem, self.seed

    def report(self, folder: pathlib.Path) -> pathlib.Path:
        """Returns the file in which its report is kept."""
        site, day, seed = self.key
        return folder / f'{self.way.name}.{site}.{day}.{seed}.json'


@dataclasses.dataclass(slots=True, frozen=True)
class Figures:
    """What a run has come to.

    Attributes:
      worth: Share of their value that callers got, less prices.
      broken: Rules that were broken.
      counts: Figures by name, in the order of the table.
    """

    worth: float
    broken: tuple[str, ...]
    counts: dict[str, float]


async def play(
    bench: pathlib.Path, one: Play, folder: pathlib.Path, why: str
) -> Figures:
    """Plays a day, unless its report is there already.

    Raises:
      PlayError: The bench ended without a report.
    """
    report = one.report(folder)
    if not report.exists():
        command = [
            *(str(bench), 'run', str(one.site), one.day),
            *('--seed', str(one.seed), '--no-cpu', '--jobs', '1'),
            *('--report', str(report), '--why', why),
        ]
        if one.is_small:
            command.append('--small')
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=one.way,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        told, _ = await process.communicate()
        report.with_suffix('.log').write_bytes(told)
        if not report.exists():
            last = told.decode(errors='replace').strip().splitlines()[-1:]
            raise PlayError(f'{one.way.name} {one.key}: {last}')
    return read(json.loads(report.read_text()))


def read(raw: dict) -> Figures:
    """Returns the figures of a report."""
    everyone = raw['all']
    counts = {name: everyone[name] for name in ('late', 'refused', 'failed')}
    counts['served'] = raw['served']
    for entry in raw['classes']:
        counts[f'late {entry["name"]}'] = entry['late']
        counts[f'lost {entry["name"]}'] = entry['refused'] + entry['failed']
    for name, _, price in raw['prices']:
        if name not in UNCERTAIN_PRICES:
            counts[f'price {name}'] = price
    return Figures(raw['G'], tuple(raw['breaks']), counts)
