"""Finds the log lines of one request and explains its outcome."""

from __future__ import annotations

import dataclasses
import datetime
import re
import shlex
from collections.abc import Iterable, Iterator

__all__ = ['LogLine', 'explain_outcome', 'parse', 'read', 'select']

FIELD_PATTERN = re.compile(r'(\w+)(?:=("(?:[^"\\]|\\.)*"|\S*))?')
HEADER_FIELDS = ('timestamp', 'level', 'event', 'node', 'role', 'module')
# Events about an upstream, which is named in their field `upstream`.
UPSTREAM_EVENTS = ('upstream_leaving', 'upstream_removed', 'migration_started')
STORE_EVENTS = ('store_lost', 'store_regained')


@dataclasses.dataclass(slots=True)
class LogLine:
    """A parsed log line.

    Attributes:
      at: Time by the clock of the process that wrote it.
      node: Node that wrote it.
      event: Name of the event.
      fields: Fields of the event, without the common header fields.
    """

    at: datetime.datetime
    node: str
    event: str
    fields: dict[str, str]

    @property
    def text(self) -> str:
        """The event and its fields in log format."""
        fields = ' '.join(f'{k}={v}' for k, v in self.fields.items())
        return f'{self.event} {fields}'


def parse(text: str) -> LogLine | None:
    """Parses a log line; returns None for other text.

    Ignores any prefix before the timestamp, such as a log collector adds.
    """
    start = text.find('timestamp=')
    if start < 0:
        return None
    fields = {
        name: _unquote(value)
        for name, value in FIELD_PATTERN.findall(text[start:])
    }
    try:
        at = datetime.datetime.fromisoformat(fields['timestamp'])
    except ValueError:
        return None
    own = {k: v for k, v in fields.items() if k not in HEADER_FIELDS}
    return LogLine(at, fields.get('node', ''), fields.get('event', ''), own)


def read(texts: Iterable[str]) -> list[LogLine]:
    """Parses log lines and skips other text."""
    return [line for text in texts if (line := parse(text)) is not None]


def select(parsed: list[LogLine], request: str) -> list[LogLine]:
    """Returns the lines that concern a request, in timestamp order.

    Besides the request's own lines, these are lines of its gateways during the
    request about its upstreams, the store, the configuration and shutdown.
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
    first, last = _time_span(own)
    related = [
        line
        for line in parsed
        if line.node in nodes
        and first <= line.at <= last
        and 'request' not in line.fields
        and _is_relevant(line, upstreams)
    ]
    found = [*own, *related]
    if not any(line.event == 'request_ended' for line in own):
        found += _next_process_starts(parsed, nodes, last)
    return sorted(found, key=lambda line: line.at)


def _next_process_starts(
    parsed: list[LogLine], nodes: set[str], since: datetime.datetime
) -> Iterator[LogLine]:
    """Yields the next start of each gateway after a request without an end."""
    for node in nodes:
        starts = [
            line
            for line in parsed
            if line.node == node
            and line.event == 'process_started'
            and line.at > since
        ]
        yield from sorted(starts, key=lambda line: line.at)[:1]


def explain_outcome(lines: list[LogLine]) -> str:
    """Explains in a sentence or two why a request ended as it did."""
    ends = [line for line in lines if line.event == 'request_ended']
    refusals = [line for line in lines if line.event == 'request_refused']
    if refusals:
        return _REFUSAL_SENTENCES.get(
            refusals[-1].fields.get('reason', ''),
            'It was refused; the reason is in its line.',
        )
    not_resumed = [line for line in lines if line.event == 'stream_not_resumed']
    if not_resumed:
        return _explain_not_resumed(not_resumed[-1].fields)
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
    last_attempt = results[-1].fields if results else {}
    was_store_lost = any(line.event == 'store_lost' for line in lines)
    if outcome == 'served':
        return _explain_served(ends[-1]) + _explain_versions(results)
    held = [line for line in lines if line.event == 'request_held']
    if outcome == 'refused' and held and _is_false(held[-1], 'admitted'):
        return (
            'No engine had room for it: it was held for '
            f'{held[-1].fields["waited_ms"]} ms and told to come back.'
        )
    if outcome in ('cut', 'failed'):
        return _explain_interrupted(last_attempt, lines, was_store_lost)
    return _OUTCOME_SENTENCES.get(outcome, f'It ended as {outcome}.')


def _explain_not_resumed(fields: dict[str, str]) -> str:
    began = fields.get('first_request') or 'a request that it does not name'
    if fields.get('reason') == 'no_upstream_of_version':
        return (
            f'Its caller took up the stream that {began} began at version '
            f'{fields.get("software_version") or "unknown"}; no upstream of '
            'that version takes new work. Nothing ran.'
        )
    return (
        f'Its caller took up the stream that {began} began; no gateway knows '
        'at which version, and its service may have had several: '
        f'{fields.get("versions", "")}. Nothing ran.'
    )


def _explain_versions(segments: list[LogLine]) -> str:
    """Names the versions of a stream's upstreams, if there are several."""
    versions = sorted(
        {
            line.fields.get('software_version', '')
            for line in segments
            if line.event == 'leg_ended' and line.fields.get('events') != '0'
        }
        - {''}
    )
    if len(versions) < 2:
        return ''
    return (
        f' Its events are of software versions {" and ".join(versions)}, which '
        'do not fit together.'
    )


def _is_false(line: LogLine, field: str) -> bool:
    return line.fields.get(field, '').lower() == 'false'


def _explain_served(end: LogLine) -> str:
    gap = end.fields.get('widest_gap_ms')
    if gap and gap != 'None' and float(gap) > 180:
        return f'It was served, with a pause of {gap} ms between two events.'
    return 'It was served.'


def _explain_interrupted(
    last_attempt: dict[str, str], lines: list[LogLine], was_store_lost: bool
) -> str:
    upstream = last_attempt.get('upstream', 'its upstream')
    result = last_attempt.get('result', 'an unknown result')
    moved = [line for line in lines if line.event == 'run_ordered']
    if last_attempt.get('leaving') in ('true', 'True', ''):
        migration = (
            'and its memory could not be moved in time'
            if moved
            else 'before its memory was moved'
        )
        text = (
            f'{upstream} left and took the work along, {migration} ({result}).'
        )
    else:
        text = (
            f'{upstream} broke off without a notice that reached this gateway '
            f'({result}); work that must not run twice is not sent again.'
        )
    if was_store_lost:
        text += ' The store was away meanwhile, so that notices came late.'
    return text


def _time_span(
    own: list[LogLine],
) -> tuple[datetime.datetime, datetime.datetime]:
    first = min(line.at for line in own)
    last = max(line.at for line in own)
    for line in own:
        if line.event == 'request_ended':
            took = float(line.fields.get('took_ms', 0))
            first = min(first, line.at - datetime.timedelta(milliseconds=took))
    return first, last


def _is_relevant(line: LogLine, upstreams: set[str]) -> bool:
    if line.event in UPSTREAM_EVENTS:
        return line.fields.get('upstream') in upstreams
    return line.event in STORE_EVENTS or line.event in (
        'configuration_installed',
        'stopping',
    )


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return ''.join(shlex.split(value))
    except ValueError:
        return value


_REFUSAL_SENTENCES = {
    'no_configuration': (
        'Its gateway had no configuration yet: it had just started and the '
        'store did not answer. Nothing ran.'
    ),
    'no_route': 'No route of the configuration in force fits host and path.',
    'unknown_key': 'The configuration in force knows no such key.',
    'no_id': 'The request carried no id of its own.',
    'stopping': (
        'Its gateway was about to exit, and callers could already reach '
        'others. Nothing ran.'
    ),
    'quarantined': (
        'It has a trait, named in its line, by which requests crashed several '
        'upstreams. Nothing ran.'
    ),
}
_OUTCOME_SENTENCES = {
    'refused': (
        'No upstream took it: those that were asked said that it has not run, '
        'or could not be reached. It was told to come back.'
    ),
    'not_sent': (
        'No upstream took it before its deadline or the exit of its gateway. '
        'It has not run.'
    ),
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


def node_names(lines: list[LogLine]) -> Iterator[str]:
    """Yields the distinct node names in order of first appearance."""
    seen: set[str] = set()
    for line in lines:
        if line.node not in seen:
            seen.add(line.node)
            yield line.node
