"""What the logs of gateways show in a soak run."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from quetzalsill_dev.soak import checks

__all__ = [
    'find_runs_cut_by_exit',
    'find_unexpected_log_lines',
    'upstreams_in_log',
]

# Logged when a process adds or removes an upstream.
MEMBERSHIP_EVENT = re.compile(
    r'event=upstream_(added|removed) .*?\bupstream=(\S+)'
)
# Logged as a request is sent, and as a stream that arrived while its process
# stopped, and that began, is cut off by the exit.
CHOICE_EVENT = re.compile(
    r'event=upstream_chosen .*?\brequest=(\S+) .*?\bupstream=(\S+)'
)
CUT_EVENT = re.compile(
    r'event=request_ended .*?\brequest=(\S+) .*?\boutcome=stopped '
    r'.*?\bfirst_ms=\d.*?\bexit_in_ms=(\d\S*)'
)
# Logged on an unforeseen failure.
UNEXPECTED_LINE = re.compile(r'Traceback|level=(?:error|critical)')


def find_runs_cut_by_exit(
    logs: Iterable[tuple[str, str]], disrupted: Iterable[checks.Disruption]
) -> Iterator[str]:
    """Yields the streams that a stopping gateway accepted and then cut off.

    Those at upstreams whose links were disrupted are excused.

    Args:
      logs: Name and text of each log.
      disrupted: Disruptions of links to upstreams.
    """
    excused = {one.server for one in disrupted}
    for name, text in logs:
        upstreams = dict(CHOICE_EVENT.findall(text))
        for request_id, exit_in_ms in CUT_EVENT.findall(text):
            if upstreams.get(request_id) not in excused:
                yield (
                    f'{name}: stream {request_id} was accepted {exit_in_ms} ms '
                    'before the exit and cut off'
                )


def find_unexpected_log_lines(logs: Iterable[tuple[str, str]]) -> Iterator[str]:
    """Yields the log lines that show an unforeseen failure."""
    for name, text in logs:
        for line in text.splitlines():
            if UNEXPECTED_LINE.search(line):
                yield f'{name}: {line[:300]}'


def upstreams_in_log(text: str) -> set[str]:
    """Returns the upstreams that a process knows, according to its log.

    Responses rarely show a missing upstream, or one that is listed although it
    has ended, because other upstreams serve the requests.
    """
    known: set[str] = set()
    for change, name in MEMBERSHIP_EVENT.findall(text):
        if change == 'added':
            known.add(name)
        else:
            known.discard(name)
    return known
