"""Invariants that hold under all faults.

They are checked by what callers, servers and logs show from outside.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import statistics
from typing import TYPE_CHECKING

from quetzalsill_dev.soak import testbed as testbed_lib
from quetzalsill_dev.users_platform import engine, resuming

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from quetzalsill_dev.soak import load as load_lib
    from quetzalsill_dev.users_platform import http_server

__all__ = [
    'Disruption',
    'LimitedServer',
    'find_excess_calls',
    'find_violations',
    'is_significantly_above_zero',
    'find_config_rollbacks',
    'find_crashing_part_sends',
    'find_crashing_sends',
    'find_refused_streams',
    'find_sends_in_pauses',
    'find_sends_to_leaving',
    'find_mixed_streams',
    'find_lost_resumptions',
    'ResumptionShares',
    'resumption_shares',
]

NOT_RUN_STATUSES = (408, 421, 429, 503)
AT_MOST_ONCE_KINDS = ('unsafe', 'plan')
OK = 200
NOT_FOUND = 404
# A request sent this long after the response to another one is handled after it
# by the same process.
CONFIG_SETTLE_S = 0.25
# A request that has crashed this many engines may reach engines this often
# more, this long after the last of these crashes.
MAX_CRASHES = 3
MAX_CRASHING_SENDS = 3
# The same for different requests with one part in their prompts that does.
MAX_PART_CRASHES = 5
STABLE_WINDOW_S = 3.0
QUARANTINED = b'quarantined\n'
# What a server that names a limit may get within a window.
LIMIT_WINDOW_S = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_ALLOWANCE = 5
# Of this many streams that are taken up, at least this multiple of the share of
# new streams that begin must go on.
MIN_TAKEN_UP = 12
MIN_RESUMED_SHARE = 0.5
# From a response that says that its server leaves until nothing may be sent.
DRAIN_S = 2.0
# What a gateway may send within a pause, later than this after its begin.
PAUSE_SLACK_S = 0.5
MAX_SENDS_IN_PAUSE = 2
STAMP_HEADER = 'x-quetzalsill-server-stamp'
LEAVING_HEADER = 'server-leaving'
# A mean this many standard errors above zero is not due to chance.
MIN_STANDARD_ERRORS = 3.0
MIN_PAIRS = 5


@dataclasses.dataclass(slots=True)
class LimitedServer:
    """A server that named a limit for a while.

    Attributes:
      server: The server.
      per_s: The limit, in requests a second.
      since_s: Loop time from which its responses named it.
      until_s: Loop time until which they did.
    """

    server: http_server.HttpServer
    per_s: float
    since_s: float
    until_s: float = math.inf

    @property
    def allowed(self) -> float:
        """Requests that it may get within `LIMIT_WINDOW_S`."""
        return LIMIT_OVERAGE * self.per_s * LIMIT_WINDOW_S + LIMIT_ALLOWANCE


@dataclasses.dataclass(slots=True, frozen=True)
class Disruption:
    """A disruption of the link to an upstream.

    Attributes:
      server: Id of the upstream.
      since_s: Loop time at which it began.
      until_s: Loop time at which it ended.
    """

    server: str
    since_s: float
    until_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class ResumptionShares:
    """How often streams that callers take up go on.

    Attributes:
      taken_up: Number of times that callers took streams up while two engines
        of their version served.
      went_on: Share of these that went on.
      began: Share of new streams that began.
      refusals: What became of the others.
    """

    taken_up: int
    went_on: float
    began: float
    refusals: collections.Counter[str]


def find_violations(
    testbed: testbed_lib.Testbed, records: Iterable[load_lib.RequestRecord]
) -> Iterator[str]:
    """Yields a line for each violation that callers or servers saw."""
    run_counts = collections.Counter(
        run[0] for server in testbed.http_servers for run in server.runs
    )
    run_counts.update(
        {name: len(at) for name, at in testbed.fleet.started.items()}
    )
    for record in records:
        where = f'{record.kind} {record.request_id} at {record.gateway}'
        runs = run_counts[record.request_id]
        if record.answer.body == QUARANTINED:
            yield f'{where} was refused as if it crashed engines'
        if record.kind in AT_MOST_ONCE_KINDS and runs > 1:
            yield f'{where} ran {runs} times'
        if (
            record.answer.status in NOT_RUN_STATUSES
            and record.kind in AT_MOST_ONCE_KINDS
            and runs
        ):
            yield f'{where} was told {record.answer.status}, and ran'
        if record.kind in ('plan', 'verdict'):
            yield from _check_stream(record, where)
        elif record.answer.status == OK and record.answer.complete:
            if not record.answer.body.decode().endswith(
                f':{record.request_id}'
            ):
                yield f'{where} got a mismatched body: {record.answer.body!r}'
            if not runs:
                yield f'{where} was answered but never ran'
    for name in testbed.fleet.concurrent:
        if any(
            record.request_id == name and record.kind == 'plan'
            for record in records
        ):
            yield f'plan {name} ran on two engines at once'


def find_crashing_sends(
    testbed: testbed_lib.Testbed,
    gateway_by_request: dict[str, str],
    times_s: Sequence[float] | None = None,
    max_crashes: int = MAX_CRASHES,
    what: str = 'a request',
) -> Iterator[str]:
    """Yields a line if requests that crash engines were sent too often.

    Gateways that were down, paused or stopping shortly before are excused.

    Args:
      testbed: Engines and gateways.
      gateway_by_request: Gateway by id of each of these requests.
      times_s: Loop times of the crashes; all that requests have caused if None.
      max_crashes: Number of crashes after which they are known.
      what: What they have in common.
    """
    if times_s is None:
        times_s = testbed.fleet.crash_times_s
    if len(times_s) < max_crashes:
        return
    since_s = times_s[max_crashes - 1] + STABLE_WINDOW_S
    gateways = {one.name: one for one in testbed.gateways}
    late = [
        one
        for one in testbed.fleet.arrivals
        if one.at_s > since_s
        and one.request_id in gateway_by_request
        and not gateways[gateway_by_request[one.request_id]].is_disturbed(
            one.at_s - STABLE_WINDOW_S, one.at_s
        )
    ]
    if len(late) > MAX_CRASHING_SENDS:
        yield (
            f'{what} that crashes engines reached {len(late)} engines after '
            f'it had crashed {max_crashes}; {len(times_s)} crashed in all'
        )


def find_crashing_part_sends(
    testbed: testbed_lib.Testbed, sends_by_part: dict[str, dict[str, str]]
) -> Iterator[str]:
    """Yields a line for each part that reached engines too often."""
    for part, sends in sends_by_part.items():
        yield from find_crashing_sends(
            testbed,
            sends,
            testbed.fleet.part_crash_times_s.get(part, ()),
            MAX_PART_CRASHES,
            f'the part {part}',
        )


def find_refused_streams(
    streams: Iterable[resuming.StreamRecord],
) -> Iterator[str]:
    """Yields the sound streams that were refused as if they crashed engines."""
    refused = [
        one.request_id
        for stream in streams
        for one in stream.attempts
        if one.reason == QUARANTINED.decode()
    ]
    if refused:
        yield (
            f'{len(refused)} sound streams were refused as if they crashed '
            f'engines, {refused[0]} the first'
        )


def find_excess_calls(
    testbed: testbed_lib.Testbed,
    limited: Iterable[LimitedServer],
    records: Iterable[load_lib.RequestRecord],
) -> Iterator[str]:
    """Yields a line for each server that got more than its limit allows.

    Gateways that were down, paused or stopping shortly before are excused.
    """
    names = {record.request_id: record.gateway for record in records}
    gateways = {one.name: one for one in testbed.gateways}

    def counts(at_s: float, request_id: str) -> bool:
        gateway = gateways[names[request_id]]
        since_s = at_s - LIMIT_WINDOW_S - STABLE_WINDOW_S
        return not gateway.is_disturbed(since_s, at_s)

    for one in limited:
        times_s = [
            at_s
            for at_s, request_id in one.server.arrivals
            if one.since_s + STABLE_WINDOW_S < at_s < one.until_s
            and counts(at_s, request_id)
        ]
        highest = _max_in_window(times_s, LIMIT_WINDOW_S)
        if highest > one.allowed:
            yield (
                f'{one.server.id} named {one.per_s} a second and got {highest} '
                f'in {LIMIT_WINDOW_S:g} s; allowed {one.allowed:g}'
            )


def find_sends_to_leaving(
    testbed: testbed_lib.Testbed, records: Sequence[load_lib.RequestRecord]
) -> Iterator[str]:
    """Yields the requests that reached a server that had said that it leaves.

    The gateway that sent them had relayed a response that says so, some time
    before the caller sent the request, and was not disturbed since.
    """
    notices: dict[tuple[str, str], float] = {}
    for record in records:
        headers = record.answer.headers
        if headers.get(LEAVING_HEADER) == '1' and record.ended_s:
            server = headers.get(STAMP_HEADER, '').partition('.')[0]
            key = (record.gateway, server)
            at_s = min(record.ended_s, notices.get(key, math.inf))
            notices[key] = at_s
    by_id = {record.request_id: record for record in records}
    gateways = {one.name: one for one in testbed.gateways}
    for server, _, request_id in _arrivals(testbed):
        record = by_id.get(request_id)
        if record is None:
            continue
        noticed_s = notices.get((record.gateway, server), math.inf)
        if record.sent_s > noticed_s + DRAIN_S and not gateways[
            record.gateway
        ].is_disturbed(noticed_s, record.sent_s):
            yield (
                f'{record.kind} {request_id} reached {server} from '
                f'{record.gateway}, sent {record.sent_s - noticed_s:.2f} s '
                'after a response that said that it leaves'
            )


def find_sends_in_pauses(
    testbed: testbed_lib.Testbed,
    records: Iterable[load_lib.RequestRecord],
    disrupted: Sequence[Disruption],
) -> Iterator[str]:
    """Yields the pauses in which a server got too many requests of a gateway.

    Gateways that were disturbed and links that were disrupted are excused, and
    responses that may have found their caller gone.
    """
    records = list(records)
    names = {record.request_id: record.gateway for record in records}
    abandoned = {one.request_id for one in records if one.abandoned}
    gateways = {one.name: one for one in testbed.gateways}
    times_s: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
    for server, at_s, request_id in _arrivals(testbed):
        if request_id in names:
            times_s[server, names[request_id]].append(at_s)
    pauses = [one for server in testbed.http_servers for one in server.pauses]
    for pause in (*pauses, *testbed.fleet.pauses):
        if pause.request_id not in names or pause.request_id in abandoned:
            continue
        name = names[pause.request_id]
        end_s = pause.at_s + pause.for_s
        is_excused = gateways[name].is_disturbed(pause.at_s, end_s)
        if is_excused or any(
            one.server == pause.server
            and one.since_s < end_s
            and one.until_s > pause.at_s - STABLE_WINDOW_S
            for one in disrupted
        ):
            continue
        sends = sum(
            pause.at_s + PAUSE_SLACK_S < at_s < end_s
            for at_s in times_s[pause.server, name]
        )
        if sends > MAX_SENDS_IN_PAUSE:
            yield (
                f'{pause.server} asked {name} for {pause.for_s:g} s without '
                f'requests and got {sends} in that time'
            )


def _arrivals(
    testbed: testbed_lib.Testbed,
) -> Iterator[tuple[str, float, str]]:
    """Yields the server, loop time and id of each request that arrived."""
    for server in testbed.http_servers:
        for at_s, request_id in server.arrivals:
            yield server.id, at_s, request_id
    for one in testbed.fleet.arrivals:
        yield one.engine, one.at_s, one.request_id


def _max_in_window(times_s: Sequence[float], window_s: float) -> int:
    """Returns the maximum number of times in any sliding window."""
    highest, first = 0, 0
    for last, at_s in enumerate(times_s):
        while at_s - times_s[first] >= window_s:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


def find_config_rollbacks(
    records: Iterable[load_lib.RequestRecord],
) -> Iterator[str]:
    """Yields responses from an older configuration than one already in force.

    A served route shows that its version is in force. From then on, that
    process has to know the route and to reject the keys of older versions.
    """
    versioned = [
        record for record in records if record.version and record.incarnation
    ]
    confirmed = [
        (record.ended_s + CONFIG_SETTLE_S, 0, record)
        for record in versioned
        if record.kind == 'edit' and record.answer.status == OK
    ]
    sent = [(record.sent_s, 1, record) for record in versioned]
    in_force: dict[tuple[str, int], int] = {}
    for _, is_sent, record in sorted(confirmed + sent, key=lambda at: at[:2]):
        process = (record.gateway, record.incarnation)
        newest = in_force.get(process, 0)
        if not is_sent:
            in_force[process] = max(newest, record.version)
        elif _is_from_older_config(record, newest):
            yield (
                f'{record.kind} {record.request_id} of version '
                f'{record.version} got {record.answer.status} at '
                f'{record.gateway}, after version {newest}'
            )


def _is_from_older_config(record: load_lib.RequestRecord, newest: int) -> bool:
    """Whether only a configuration before `newest` gives this response."""
    if record.kind == 'edit':
        return record.answer.status == NOT_FOUND and record.version <= newest
    return record.answer.status == OK and record.version < newest


def is_significantly_above_zero(differences: Sequence[float]) -> bool:
    """Whether the mean of paired differences is significantly above zero.

    Losses vary by chance, because faults hit requests at different moments; a
    few pairs show nothing.
    """
    if len(differences) < MIN_PAIRS:
        return False
    error = statistics.stdev(differences) / len(differences) ** 0.5
    return statistics.fmean(differences) > MIN_STANDARD_ERRORS * error


def _check_stream(record: load_lib.RequestRecord, where: str) -> Iterator[str]:
    if record.answer.status != OK:
        return
    versions = engine.versions_of(record.answer.body)
    if len(versions) > 1:
        yield f'{where} holds events of versions {sorted(versions)}'
        return
    [version] = versions or ['']
    expected = b''.join(
        engine.event(record.request_id, n, version)
        for n in range(1, testbed_lib.EVENTS_PER_STREAM + 1)
    )
    if record.answer.complete and record.answer.body != expected:
        yield f'{where} looks complete but is not: {record.answer.body[-80:]!r}'
    if not expected.startswith(record.answer.body):
        yield f'{where} got unexpected events: {record.answer.body[-80:]!r}'


def find_mixed_streams(
    streams: Iterable[resuming.StreamRecord],
) -> Iterator[str]:
    """Yields a line for each stream with events of several versions."""
    for stream in streams:
        names = [one.request_id for one in stream.attempts]
        if len(stream.versions) > 1:
            versions = sorted(stream.versions)
            yield f'stream {names} holds events of versions {versions}'
        if stream.gaps:
            yield f'stream {names} lacks an event, or has one twice'


def find_lost_resumptions(
    streams: Iterable[resuming.StreamRecord],
) -> Iterator[str]:
    """Yields a line if streams that are taken up go on too rarely.

    Compared with the share of new streams that begin, while two engines of
    their version serve.
    """
    shares = resumption_shares(streams)
    if shares.taken_up < MIN_TAKEN_UP:
        return
    if shares.went_on < MIN_RESUMED_SHARE * shares.began:
        yield (
            f'{shares.went_on:.2f} of {shares.taken_up} streams that are taken '
            f'up go on, {shares.began:.2f} of new ones begin: '
            f'{dict(shares.refusals)}'
        )


def resumption_shares(
    streams: Iterable[resuming.StreamRecord],
) -> ResumptionShares:
    """Returns how often streams go on, and how often new ones begin."""
    attempts = [
        one for stream in streams for one in stream.attempts if one.is_connected
    ]
    new = [one.is_served for one in attempts if not one.takes_up]
    taken_up = [one for one in attempts if one.takes_up and one.serving >= 2]
    served = [one.is_served for one in taken_up]
    return ResumptionShares(
        len(taken_up),
        statistics.fmean(served) if served else 1.0,
        statistics.fmean(new) if new else 1.0,
        collections.Counter(
            one.reason.strip() or str(one.status)
            for one in taken_up
            if not one.is_served
        ),
    )
