"""Copies of the checkout with one decision mechanism disabled.

Usage: `python -m quetzalsill_dev.ablation NAME FOLDER`; `list` as the name
prints all mechanisms. Benchmarking such a copy against the full system shows
the effect of its mechanism (docs/DECISIONS.md). Mechanisms are disabled by
source edits kept here rather than by settings, so that no deployed process can
be started without one.
"""

from __future__ import annotations

import dataclasses
import pathlib
import shutil
import sys

__all__ = ['MECHANISMS', 'Edit', 'EditError', 'apply']

ROOT = pathlib.Path(__file__).resolve().parents[4]
# Folders that the users' platform builds from and starts.
COPIED_FOLDERS = ('packages', 'platform', 'deploy')
CONSTRAINTS_FILE = 'constraints.txt'
IGNORED = shutil.ignore_patterns('__pycache__', '*.egg-info')
GATEWAY = 'packages/quetzalsill-gateway/src/quetzalsill_gateway/'


class EditError(Exception):
    """The text to replace does not occur exactly once in its module."""


@dataclasses.dataclass(slots=True, frozen=True)
class Edit:
    """A source replacement that disables one mechanism.

    Attributes:
      module: Path of the module relative to the checkout.
      old: Text to replace; must occur exactly once.
      new: Replacement text.
    """

    module: str
    old: str
    new: str


def _gateway(module: str, old: str, new: str) -> Edit:
    return Edit(GATEWAY + module, old, new)


MECHANISMS: dict[str, Edit] = {
    'watching-together': _gateway(
        'peers/exchange.py',
        'if handler is not None and node',
        'if False and node',
    ),
    'backups': _gateway(
        'balance/backup.py',
        'return duration_s >= MIN',
        'return False and MIN',
    ),
    'software-versions': _gateway(
        'fleet/software_versions.py',
        '        if origin is None:\n            return True',
        '        if origin is None or upstream:\n            return True',
    ),
    'published-origins': _gateway(
        'fleet/stream_origins.py',
        'if self._versions.has_several(origin.service):',
        'if False:',
    ),
    'moves': _gateway(
        'stream/migration.py',
        'if spec is None or not spec.can_move',
        'if True or not spec.can_move',
    ),
    'one-move-at-a-time': _gateway(
        'stream/link_queue.py',
        '        if not positions:\n            return True',
        '        if positions or not positions:\n            return True',
    ),
    'first-copy-in-need': _gateway(
        'stream/continuation.py',
        'timeout_s = FINAL_COPY_TIMEOUT_S if precopy else STOP_TIMEOUT_S',
        'timeout_s = STOP_TIMEOUT_S',
    ),
    'only-what-is-in-time': _gateway(
        'stream/migration.py',
        'if remaining_s\n            >=',
        'if 60.0\n            >=',
    ),
    'destinations-in-the-zone': _gateway(
        'balance/choose.py',
        'not is_match(candidate), crossing, tie_break',
        'not is_match(candidate), False, tie_break',
    ),
    'matching-by-pace': _gateway(
        'balance/pace.py',
        'if max_gap_s is None or not speeds.differ(service)',
        'if True',
    ),
    'failures-of-all': _gateway(
        'balance/upstream_stats.py',
        'sum(one.failures for one in loads)',
        '0.0',
    ),
    'faulty-engines-out': _gateway(
        'balance/faults.py',
        'FAULTY_SCORE = 1.5',
        'FAULTY_SCORE = 1e9',
    ),
    'telling-each-other': _gateway(
        'peers/exchange.py',
        'state = self._deltas.next_state(now, self._current(), gateways)',
        'state = None',
    ),
    'holding-for-memory': _gateway(
        'balance/admission.py',
        'if not engine.memory_tokens:',
        'if True or not engine.memory_tokens:',
    ),
    'ranks-by-size': _gateway(
        'balance/queue_entry.py',
        'SIZE_BOUNDS = (0.7, 1.4)',
        'SIZE_BOUNDS = ()',
    ),
    'lots-for-room': _gateway(
        'balance/search.py',
        'if wanted and self._rng.random() >= RACE_SHARE * left / wanted:',
        'if False:',
    ),
    'room-for-runs-that-move': _gateway(
        'balance/search.py',
        'leaving = self._upstreams.leaving(self.req.service.name)',
        'leaving = []',
    ),
    'runs-beside-copies-last': _gateway(
        'balance/search.py',
        'return self._lasting(beside or fitting)',
        'return self._lasting(fitting)',
    ),
    'engine-priorities': _gateway(
        'stream/continuation.py', 'PRIORITY_STEP = 2', 'PRIORITY_STEP = 0'
    ),
    'asking-in-an-outage': _gateway(
        'stream/engine_poll.py',
        'await _wait_until_down(core.health)',
        'await asyncio.Event().wait()',
    ),
    'telling-of-an-outage': _gateway(
        'source.py',
        'if self._down_since_s or self._down_peers:',
        'if self._down_since_s:',
    ),
    'grace-for-lapsed': _gateway(
        'fleet/upstream.py', 'LAPSE_GRACE_S = 2.2', 'LAPSE_GRACE_S = 0.0'
    ),
    'early-socket': Edit(
        'platform/run.py',
        '    if path:\n        early',
        '    if not path:\n        early',
    ),
    'no-run-that-outlasts': _gateway(
        'shutdown.py',
        'if left_s is None or req.responder.started:',
        'if True:',
    ),
}


def apply(edit: Edit, root: pathlib.Path) -> None:
    """Disables a mechanism in a checkout.

    Raises:
      EditError: The module has changed and the edit must be updated.
    """
    path = root / edit.module
    text = path.read_text(encoding='utf-8')
    if text.count(edit.old) != 1:
        raise EditError(
            f'{edit.module}: {edit.old!r} occurs {text.count(edit.old)} times, '
            'expected once; update the edit in quetzalsill_dev.ablation'
        )
    path.write_text(text.replace(edit.old, edit.new), encoding='utf-8')


def _copy(folder: pathlib.Path) -> None:
    for part in COPIED_FOLDERS:
        shutil.copytree(ROOT / part, folder / part, ignore=IGNORED)
    shutil.copyfile(ROOT / CONSTRAINTS_FILE, folder / CONSTRAINTS_FILE)


def main(args: list[str]) -> int:
    """Lists the mechanisms, or creates a copy with one disabled."""
    if args == ['list']:
        print('\n'.join(MECHANISMS))
        return 0
    if len(args) != 2 or args[0] not in MECHANISMS:
        print(
            'Usage: python -m quetzalsill_dev.ablation NAME FOLDER, where NAME '
            f'is one of {", ".join(MECHANISMS)}',
            file=sys.stderr,
        )
        return 2
    folder = pathlib.Path(args[1])
    if folder.exists():
        print(f'{folder} already exists; specify a new folder', file=sys.stderr)
        return 2
    _copy(folder)
    apply(MECHANISMS[args[0]], folder)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
