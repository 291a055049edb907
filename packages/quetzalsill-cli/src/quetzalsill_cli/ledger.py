"""Classifies all requests of a log: served in time, late or lost, and why.

Each request in the gateways' logs gets one verdict and one cause. Requests
that left no log line are not counted: those of callers that could not connect,
and those whose gateway died before it chose an upstream.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime
import enum
import math
from collections.abc import Iterable, Iterator

from quetzalsill_cli import request_log

__all__ = ['Entry', 'Hold', 'Ledger', 'Verdict', 'build', 'format_table']

# A late generation that spent at least this share of its time to first event at
# admission waited for memory; otherwise for its prefill or its engine.
MIN_MEMORY_WAIT_SHARE = 0.5
HELD = 'request_held'
# A request that is rejected should be rejected sooner than this.
LONG_HOLD_MS = 500.0


class Verdict(enum.Enum):
    """The outcome of a request for its caller."""

    IN_TIME = 'in time'
    LATE = 'late'
    LOST = 'lost'
    NOT_OWED = 'not owed'


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """The classification of one request.

    Attributes:
      request: Id of the request.
      route: Its route; empty if unknown.
      verdict: Its outcome.
      cause: Why it was late, lost or not counted; empty if in time.
      at: Time of its end, or of its last log line.
      tokens: Expected size in the KV cache, in tokens; 0 if unknown.
    """

    request: str
    route: str
    verdict: Verdict
    cause: str
    at: datetime.datetime
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Hold:
    """A time for which a generation was queued.

    Attributes:
      waited_ms: Its length.
      expected_ms: Its expected length.
      admitted: Whether the generation was sent then.
    """

    waited_ms: float
    expected_ms: float
    admitted: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Ledger:
    """All classified requests of a log.

    Attributes:
      entries: One per request, in order of first appearance.
      unreadable_lines: Number of lines with an event that cannot be parsed.
      holds: All times for which generations were queued.
    """

    entries: list[Entry]
    unreadable_lines: int
    holds: list[Hold] = dataclasses.field(default_factory=list)


def build(texts: Iterable[str]) -> Ledger:
    """Classifies the requests in the log lines of any number of gateways."""
    unreadable_lines = 0
    by_request: dict[str, list[request_log.LogLine]] = collections.defaultdict(
        list
    )
    for text in texts:
        line = request_log.parse(text)
        if line is None:
            unreadable_lines += 'event=' in text
            continue
        request = line.fields.get('request')
        if request:
            by_request[request].append(line)
    entries = []
    holds: list[Hold] = []
    for request, lines in by_request.items():
        try:
            entries.append(_entry(request, lines))
        except ValueError:
            # Written by another version, or truncated within a number.
            unreadable_lines += len(lines)
            continue
        for line in lines:
            if line.event == HELD:
                hold = _parse_hold(line)
                if hold is None:
                    unreadable_lines += 1
                else:
                    holds.append(hold)
    return Ledger(entries, unreadable_lines, holds)


def _parse_hold(line: request_log.LogLine) -> Hold | None:
    """Returns the contents of a line; None if it is truncated or malformed."""
    try:
        waited_ms = _float_field(line, 'waited_ms')
        expected_ms = _float_field(line, 'expected_ms')
    except ValueError:
        return None
    if waited_ms is None or expected_ms is None:
        return None
    if 'come_back_ms' not in line.fields:
        return None
    admitted = line.fields.get('admitted', '').lower() == 'true'
    return Hold(waited_ms, expected_ms, admitted)


def _entry(request: str, lines: list[request_log.LogLine]) -> Entry:
    last = lines[-1]
    refused = [line for line in lines if line.event == 'request_refused']
    ends = [line for line in lines if line.event == 'request_ended']
    if refused:
        verdict, cause = _classify_refusal(refused[-1])
        return Entry(request, '', verdict, cause, last.at, 0)
    if not ends:
        route = _first_value(lines, 'route')
        tokens = int(_first_value(lines, 'needs_tokens') or 0)
        lost = Verdict.LOST
        return Entry(request, route, lost, 'its gateway died', last.at, tokens)
    end = ends[-1]
    if 'tokens' not in end.fields:
        # `tokens` is the last field; a truncated line would be misclassified.
        raise ValueError('the end of the line is missing')
    verdict, cause = _classify(end, lines)
    route = end.fields.get('route', '')
    tokens = int(end.fields.get('tokens') or 0)
    return Entry(request, route, verdict, cause, end.at, tokens)


def _classify_refusal(line: request_log.LogLine) -> tuple[Verdict, str]:
    reason = line.fields.get('reason', '')
    if reason == 'no_configuration':
        return Verdict.LOST, 'its gateway had no configuration'
    return Verdict.NOT_OWED, reason


def _classify(
    end: request_log.LogLine, lines: list[request_log.LogLine]
) -> tuple[Verdict, str]:
    outcome = end.fields.get('outcome', '')
    if outcome == 'served':
        return _classify_served(end)
    if outcome in ('cut', 'failed'):
        return Verdict.LOST, _interruption_cause(lines)
    not_resumed = [line for line in lines if line.event == 'stream_not_resumed']
    if not_resumed:
        reason = not_resumed[-1].fields.get('reason', '')
        return Verdict.LOST, _NOT_RESUMED_CAUSES.get(reason, reason)
    return Verdict.LOST, _OUTCOME_CAUSES.get(outcome, outcome)


def _classify_served(end: request_log.LogLine) -> tuple[Verdict, str]:
    objective_ms = _float_field(end, 'objective_ms')
    first_event_ms = _float_field(end, 'first_ms')
    if first_event_ms is None:
        took_ms = _float_field(end, 'took_ms') or 0.0
        if objective_ms and took_ms > objective_ms:
            return Verdict.LATE, 'answer: its upstream took long'
        return Verdict.IN_TIME, ''
    if objective_ms and first_event_ms > objective_ms:
        held_ms = _float_field(end, 'held_ms') or 0.0
        if held_ms >= MIN_MEMORY_WAIT_SHARE * first_event_ms:
            return Verdict.LATE, 'first event: waited for memory'
        return Verdict.LATE, 'first event: waited at its engine'
    max_gap_ms = _float_field(end, 'most_gap_ms')
    gap_ms = _float_field(end, 'widest_gap_ms') or 0.0
    if max_gap_ms and gap_ms > max_gap_ms:
        cause = end.fields.get('gap_cause') or 'its engine was busy'
        return Verdict.LATE, f'pause: {cause}'
    return Verdict.IN_TIME, ''


def _interruption_cause(lines: list[request_log.LogLine]) -> str:
    segments = [line for line in lines if line.event == 'leg_ended']
    last_segment = segments[-1].fields if segments else {}
    if last_segment.get('leaving', '').lower() == 'true':
        return 'its engine left'
    if last_segment.get('result', '') in (
        'upstream_silent',
        'upstream_unreachable',
    ):
        return 'its engine fell silent'
    return 'its upstream broke off'


_NOT_RESUMED_CAUSES = {
    'unknown_origin': 'taken up: its software version is unknown',
    'no_upstream_of_version': 'taken up: its software version is gone',
}
_OUTCOME_CAUSES = {
    'refused': 'told to come back',
    'not_sent': 'no upstream took it in time',
    'upstream_failed': "its upstream's own failure",
    'timeout': 'no answer before its deadline',
    'cut_at_deadline': 'still going on at its deadline',
    'caller_left': 'its caller left',
    'stopped': 'its gateway stopped',
}


def _first_value(lines: list[request_log.LogLine], field: str) -> str:
    return next(
        (line.fields[field] for line in lines if line.fields.get(field)), ''
    )


def _float_field(line: request_log.LogLine, field: str) -> float | None:
    text = line.fields.get(field, '')
    return None if text in ('', 'None') else float(text)


def format_table(ledger: Ledger) -> Iterator[str]:
    """Yields the table's lines: a summary per route, then its causes."""
    by_route: dict[str, list[Entry]] = collections.defaultdict(list)
    for entry in ledger.entries:
        if entry.verdict is not Verdict.NOT_OWED:
            by_route[entry.route or '(not known)'].append(entry)
    for route, entries in sorted(by_route.items()):
        yield from _format_route(route, entries)
    yield from _format_holds(ledger.holds)
    if ledger.unreadable_lines:
        yield f'{ledger.unreadable_lines} lines could not be read'


def _format_route(route: str, entries: list[Entry]) -> Iterator[str]:
    verdicts = collections.Counter(entry.verdict for entry in entries)
    yield (
        f'{route}: owed {len(entries)}, '
        f'in time {verdicts[Verdict.IN_TIME]}, '
        f'late {verdicts[Verdict.LATE]}, lost {verdicts[Verdict.LOST]}'
    )
    tokens = sum(entry.tokens for entry in entries)
    causes: dict[tuple[str, str], list[Entry]] = collections.defaultdict(list)
    for entry in entries:
        if entry.cause:
            causes[entry.verdict.value, entry.cause].append(entry)
    for (verdict, cause), found in sorted(
        causes.items(), key=lambda item: -len(item[1])
    ):
        share = sum(entry.tokens for entry in found) / max(1, tokens)
        busiest_seconds = _busiest_seconds(found)
        yield (
            f'  {len(found):5}  {100 * len(found) / len(entries):5.1f} in 100'
            f'  {100 * share:5.1f} of tokens  {verdict}, {cause}'
            f'  {busiest_seconds}'
        )


def _format_holds(holds: list[Hold]) -> Iterator[str]:
    """Formats the error of the expected wait, and how long rejections took."""
    errors_ms = sorted(
        abs(one.waited_ms - one.expected_ms) for one in holds if one.admitted
    )
    if errors_ms:
        yield (
            f'queued, then sent: {len(errors_ms)}, error of the expected wait '
            f'p50 {_percentile(errors_ms, 50):.0f} ms, '
            f'p90 {_percentile(errors_ms, 90):.0f} ms'
        )
    rejected = [one.waited_ms for one in holds if not one.admitted]
    if rejected:
        long = sum(waited_ms > LONG_HOLD_MS for waited_ms in rejected)
        yield (
            f'queued, then rejected: {len(rejected)}, '
            f'{100 * long / len(rejected):.1f} in 100 of them after more than '
            f'{LONG_HOLD_MS:.0f} ms'
        )


def _percentile(ordered: list[float], percent: int) -> float:
    """Returns the smallest value that reaches a share of ordered values."""
    return ordered[max(1, math.ceil(len(ordered) * percent / 100)) - 1]


def _busiest_seconds(entries: list[Entry], limit: int = 3) -> str:
    """Formats the seconds in which the most entries ended."""
    counts = collections.Counter(f'{entry.at:%H:%M:%S}' for entry in entries)
    return ' '.join(f'{at}x{n}' for at, n in counts.most_common(limit))
