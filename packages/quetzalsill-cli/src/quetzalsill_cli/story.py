"""What became of one request, out of the log lines of all processes."""

from __future__ import annotations

import dataclasses
import datetime
import re
import shlex
from collections.abc import Iterable, Iterator

__all__ = ['Line', 'cause', 'parse', 'read', 'select']

FIELD = re.compile(r'(\w+)(?:=("(?:[^"\\]|\\.)*"|\S*))?')
HEAD = ('timestamp', 'level', 'event', 'node', 'role', 'module')
# Events that say what an upstream did, by the field that names it.
OF_UPSTREAM = ('upstream_leaving', 'upstream_removed', 'migration_started')
STORE = ('store_lost', 'store_regained')


@dataclasses.dataclass(slots=True)
class Line:
    """One log line.

    Attributes:
      at: Time of day at its process.
      node: Process that wrote it.
      event: Name of the event.
      fields: The event's own fields.
    """

    at: datetime.datetime
    node: str
    event: str
    fields: dict[str, str]

    @property
    def text(self) -> str:
        """The event with its fields, as it was written."""
        fields = ' '.join(f'{k}={v}' for k, v in self.fields.items())
        return f'{self.event} {fields}'


def parse(text: str) -> Line | None:
    """Returns the line that a text holds, None if it holds none.

    What stands before the timestamp, as a collector of logs may write, is
    left out.
    """
    start = text.find('timestamp=')
    if start < 0:
        return None
    fields = {
        name: _unquoted(value) for name, value in FIELD.findall(text[start:])
    }
    try:
        at = datetime.datetime.fromisoformat(fields['timestamp'])
    except ValueError:
        return None
    own = {k: v for k, v in fields.items() if k not in HEAD}
    return Line(at, fields.get('node', ''), fields.get('event', ''), own)


def read(texts: Iterable[str]) -> list[Line]:
    """Returns the lines that texts hold; what is none is left out."""
    return [line for text in texts if (line := parse(text)) is not None]


def select(parsed: list[Line], request: str) -> list[Line]:
    """Returns what concerns a request, in the order of the processes' clocks.

    Besides its own lines these are, from its gateway and while it lasted, what
    the gateway learned of the upstreams that had it, of its store and peers.
    """
    own = [line for line in parsed if line.fields.get('request') == request]
    if not own:
        return []
    nodes = {line.node for line in own}
    upstreams = {
        line.fields[name]
        for line in own
        for name in ('upstream', 'source', 'target')
        if line.fields.get(name)
    }
    first, last = _span(own)
    around = [
        line
        for line in parsed
        if line.node in nodes
        and first <= line.at <= last
        and 'request' not in line.fields
        and _concerns(line, upstreams)
    ]
    found = [*own, *around]
    if not any(line.event == 'request_ended' for line in own):
        found += _next_starts(parsed, nodes, last)
    return sorted(found, key=lambda line: line.at)


def _next_starts(
    parsed: list[Line], nodes: set[str], since: datetime.datetime
) -> Iterator[Line]:
    """Yields when the gateways of a request without an end started anew."""
    for node in nodes:
        starts = [
            line
            for line in parsed
            if line.node == node
            and line.event == 'process_started'
            and line.at > since
        ]
        yield from sorted(starts, key=lambda line: line.at)[:1]


def cause(lines: list[Line]) -> str:
    """Returns in a sentence why a request ended as it did."""
    ends = [line for line in lines if line.event == 'request_ended']
    refusals = [line for line in lines if line.event == 'request_refused']
    if refusals:
        return _REFUSALS.get(
            refusals[-1].fields.get('reason', ''),
            'It was refused; the reason is in its line.',
        )
    starts = [line for line in lines if line.event == 'process_started']
    if not ends and starts:
        return (
            f'Its gateway {starts[0].node} died with it; it started anew at '
            f'{starts[0].at:%H:%M:%S}.'
        )
    if not ends:
        return (
            'Its end was not logged: its gateway died with it, the log is '
            'incomplete, or it is still under way.'
        )
    outcome = ends[-1].fields.get('outcome', '')
    results = [
        line for line in lines if line.event in ('attempt_ended', 'leg_ended')
    ]
    newest = results[-1].fields if results else {}
    away = any(line.event == 'store_lost' for line in lines)
    if outcome == 'served':
        return _served(ends[-1])
    held = [line for line in lines if line.event == 'request_held']
    if outcome == 'refused' and held and _is_false(held[-1], 'admitted'):
        return (
            'No engine had room for it: it was held for '
            f'{held[-1].fields["waited_ms"]} ms and told to come back.'
        )
    if outcome in ('cut', 'failed'):
        return _broken(newest, lines, away)
    return _OUTCOMES.get(outcome, f'It ended as {outcome}.')


def _is_false(line: Line, field: str) -> bool:
    return line.fields.get(field, '').lower() == 'false'


def _served(end: Line) -> str:
    gap = end.fields.get('widest_gap_ms')
    if gap and gap != 'None' and float(gap) > 180:
        return f'It was served, with a pause of {gap} ms between two events.'
    return 'It was served.'


def _broken(newest: dict[str, str], lines: list[Line], away: bool) -> str:
    upstream = newest.get('upstream', 'its upstream')
    result = newest.get('result', 'an unknown result')
    moved = [line for line in lines if line.event == 'run_ordered']
    if newest.get('leaving') in ('true', 'True', ''):
        tried = (
            'and its memory could not be moved in time'
            if moved
            else 'before its memory was moved'
        )
        text = f'{upstream} left and took the work along, {tried} ({result}).'
    else:
        text = (
            f'{upstream} broke off without a notice that reached this gateway '
            f'({result}); work that must not run twice is not sent again.'
        )
    if away:
        text += ' The store was away meanwhile, so that notices came late.'
    return text


def _span(own: list[Line]) -> tuple[datetime.datetime, datetime.datetime]:
    first = min(line.at for line in own)
    last = max(line.at for line in own)
    for line in own:
        if line.event == 'request_ended':
            took = float(line.fields.get('took_ms', 0))
            first = min(first, line.at - datetime.timedelta(milliseconds=took))
    return first, last


def _concerns(line: Line, upstreams: set[str]) -> bool:
    if line.event in OF_UPSTREAM:
        return line.fields.get('upstream') in upstreams
    return line.event in STORE or line.event in (
        'configuration_installed',
        'stopping',
    )


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return ''.join(shlex.split(value))
    except ValueError:
        return value


_REFUSALS = {
    'no_configuration': (
        'Its gateway had no configuration yet: it had just started and the '
        'store did not answer. Nothing ran.'
    ),
    'no_route': 'No route of the configuration in force fits host and path.',
    'unknown_key': 'The configuration in force knows no such key.',
    'no_id': 'The request carried no id of its own.',
}
_OUTCOMES = {
    'refused': (
        'No upstream took it: those that were asked said that it has not run, '
        'or could not be reached. It was told to come back.'
    ),
    'not_sent': 'No upstream could be reached before its deadline.',
    'upstream_failed': (
        'The upstream itself answered with a failure, which was handed on.'
    ),
    'timeout': (
        'The upstream did not answer before the deadline of the caller or the '
        'timeout of the route.'
    ),
    'cut_at_deadline': (
        'The stream was still going on at the deadline of the caller or the '
        'timeout of the route.'
    ),
    'stopped': (
        'Its gateway was stopped and came to the end of its grace period first.'
    ),
    'caller_left': 'The caller closed its connection before the end.',
}


def nodes_apart(lines: list[Line]) -> Iterator[str]:
    """Yields the names of the processes whose lines are mixed by clock."""
    seen: set[str] = set()
    for line in lines:
        if line.node not in seen:
            seen.add(line.node)
            yield line.node
