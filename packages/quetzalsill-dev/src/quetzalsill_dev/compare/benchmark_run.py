"""Runs one day of the users' benchmark on one checkout and reads its report.

This is the only module that depends on the interface of the benchmark.
Processor time is not charged, and results of the same code at the same seed
are reproducible; but any code change moves the score of one seed by about 0.01
by chance, so that a difference must be measured over many pairs.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import pathlib

__all__ = [
    'Figures',
    'MissingReportError',
    'Run',
    'parse_report',
    'run_benchmark',
]

# Prices that depend on the machine rather than on the decisions.
MACHINE_DEPENDENT_PRICES = frozenset(
    ('processor seconds', 'memory, GB x seconds', 'machine-seconds')
)


class MissingReportError(Exception):
    """The benchmark ended without a report."""


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """One run of the benchmark.

    Attributes:
      checkout: Folder of a checkout.
      site: Site file.
      day: Name of a day, or file that defines one.
      seed: Seed of the day.
      is_small: Whether the small variant of the day is used.
    """

    checkout: pathlib.Path
    site: pathlib.Path
    day: str
    seed: int
    is_small: bool = False

    @property
    def key(self) -> tuple[str, str, int]:
        """Key by which runs of two checkouts are paired."""
        return self.site.stem, pathlib.Path(self.day).stem, self.seed

    def report_path(self, folder: pathlib.Path) -> pathlib.Path:
        """Returns the file in which the report is kept."""
        site, day, seed = self.key
        return folder / f'{self.checkout.name}.{site}.{day}.{seed}.json'


@dataclasses.dataclass(slots=True, frozen=True)
class Figures:
    """Results of a run.

    Attributes:
      score: Share of the requests' value that callers received, less prices.
      violations: Names of the rules that were broken.
      counts: Figures by name, in the order of the table.
    """

    score: float
    violations: tuple[str, ...]
    counts: dict[str, float]


async def run_benchmark(
    bench: pathlib.Path, one: Run, folder: pathlib.Path, why: str
) -> Figures:
    """Runs the benchmark, unless the report exists already.

    Raises:
      MissingReportError: The benchmark ended without a report.
    """
    report = one.report_path(folder)
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
            cwd=one.checkout,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        report.with_suffix('.log').write_bytes(output)
        if not report.exists():
            last_line = (
                output.decode(errors='replace').strip().splitlines()[-1:]
            )
            raise MissingReportError(
                f'{one.checkout.name} {one.key}: {last_line}'
            )
    return parse_report(json.loads(report.read_text()))


def parse_report(raw: dict) -> Figures:
    """Parses the figures of a report."""
    total = raw['all']
    counts = {name: total[name] for name in ('late', 'refused', 'failed')}
    counts['served'] = raw['served']
    for entry in raw['classes']:
        counts[f'late {entry["name"]}'] = entry['late']
        counts[f'lost {entry["name"]}'] = entry['refused'] + entry['failed']
    for name, _, price in raw['prices']:
        if name not in MACHINE_DEPENDENT_PRICES:
            counts[f'price {name}'] = price
    return Figures(raw['G'], tuple(raw['breaks']), counts)
