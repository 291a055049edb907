"""Metrics of a gateway."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import TYPE_CHECKING

from quetzalsill.telemetry import metric
from quetzalsill_gateway.balance import admission
from quetzalsill_gateway.watch import epoch
from quetzalsill_gateway.watch import lapsed_engines as lapsed_engines_lib

if TYPE_CHECKING:
    from quetzalsill_gateway import core as core_lib
    from quetzalsill_gateway import exchange as exchange_lib
    from quetzalsill_gateway.fleet import upstream as upstream_lib
    from quetzalsill_gateway.peers import exchange

__all__ = [
    'attempts',
    'datagrams',
    'engine_speeds',
    'engines',
    'epochs',
    'lapsed_engines',
    'held',
    'moves',
    'not_resumed',
    'passed_over',
    'updates',
    'record_request',
    'observe',
    'pace_misses',
    'refused',
    'store_calls',
]

# Finer than the default buckets around the delays that callers notice.
SECONDS = (
    *(0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 15, 40),
    float('inf'),
)

requests = metric.counter(
    'quetzalsill_gateway_requests_total',
    'Requests of callers, by kind of route and outcome.',
)
refused = metric.counter(
    'quetzalsill_gateway_refused_total',
    'Requests refused before an upstream was chosen, by reason.',
)
held = metric.counter(
    'quetzalsill_gateway_held_total',
    'Generations queued for an engine, by result and by what they waited for.',
)
not_resumed = metric.counter(
    'quetzalsill_gateway_not_resumed_total',
    'Streams that callers took up in vain, by reason.',
)
pace_misses = metric.counter(
    'quetzalsill_gateway_pace_misses_total',
    'Generations sent to an engine that is too slow for their gaps, by kind of'
    ' route.',
)
attempts = metric.counter(
    'quetzalsill_gateway_attempts_total',
    'Sends to upstreams, by what came of them.',
)
moves = metric.histogram(
    'quetzalsill_gateway_move_seconds',
    'Time of an order to copy a run, by whether it was the last.',
    SECONDS,
)
store_calls = metric.histogram(
    'quetzalsill_gateway_store_call_seconds',
    'Time of a call to the store, by call; a watch lasts until a change.',
    SECONDS,
)
datagrams = metric.gauge(
    'quetzalsill_gateway_datagrams',
    'Datagrams of other gateways since the start, by what became of them.',
)
updates = metric.counter(
    'quetzalsill_gateway_news_total',
    'News of the sources that other gateways told, by source and use.',
)
# Defined in `watch`, as the state observed here and codecs of peers depend on
# these modules.
lapsed_engines = lapsed_engines_lib.asked_total
epochs = epoch.epochs_total
# Defined in `balance.admission`, on which the state observed here depends.
passed_over = admission.passed_over_total
response_times = metric.histogram(
    'quetzalsill_gateway_answer_seconds',
    'Time from a request to its whole answer, by kind of route.',
    SECONDS,
)
first_events = metric.histogram(
    'quetzalsill_gateway_first_event_seconds',
    'Time from a request to the first event of its stream, by kind of route.',
    SECONDS,
)
max_gaps = metric.histogram(
    'quetzalsill_gateway_widest_gap_seconds',
    'Longest pause between two events of a stream, by kind of route.',
    SECONDS,
)
upstreams = metric.gauge(
    'quetzalsill_gateway_upstreams',
    'Upstreams known, by whether they take new work; those that limit it or'
    ' asked for a pause are counted once more.',
)
engines = metric.gauge(
    'quetzalsill_gateway_engines',
    'Upstreams that take new work, by service and software version.',
)
source_ages = metric.gauge(
    'quetzalsill_gateway_age_seconds',
    'Time since configuration and membership were last confirmed.',
)
state = metric.gauge(
    'quetzalsill_gateway_state',
    'Version in force, connections of callers, streams, gateways heard,'
    ' requests in quarantine.',
)
quarantined = metric.gauge(
    'quetzalsill_gateway_quarantined',
    'Traits in quarantine, by kind: whole requests, parts of prompts.',
)
engine_speeds = metric.gauge(
    'quetzalsill_gateway_engine_speeds',
    'Speeds of engines, by service: slowest to fastest engine, share, factor'
    ' and onsets per second of short slowdowns.',
)


# Label values of `engines`, which a version that is gone keeps with a zero.
_observed_versions: set[tuple[str, str]] = set()


def record_request(
    exchange: exchange_lib.Exchange, outcome: str, elapsed_s: float
) -> None:
    """Records a finished request."""
    kind = {'kind': exchange.route.kind.value}
    requests.inc(kind | {'outcome': outcome})
    response_times.observe(kind, elapsed_s)
    if exchange.first_event_s is not None:
        first_events.observe(kind, exchange.first_event_s)
        max_gaps.observe(kind, exchange.widest_gap_s)


def observe(
    core: core_lib.Core, connections: int, peers: exchange.Exchange
) -> None:
    """Updates the gauges from the current state.

    Args:
      core: State of the gateway.
      connections: Number of open connections of callers.
      peers: Exchange with the other gateways.
    """
    all_upstreams = core.upstreams.all()
    leaving = sum(upstream.leaving for upstream in all_upstreams)
    upstreams.set({'state': 'leaving'}, leaving)
    upstreams.set({'state': 'live'}, len(all_upstreams) - leaving)
    _observe_versions(all_upstreams)
    limited = sum(
        core.server_limits.in_force(found) is not None
        for found in all_upstreams
    )
    upstreams.set({'state': 'limited'}, limited)
    pausing = sum(map(core.backoffs.is_pausing, all_upstreams))
    upstreams.set({'state': 'pausing'}, pausing)
    source_ages.set({'of': 'configuration'}, core.holder.age_s)
    source_ages.set({'of': 'membership'}, core.upstreams.age_s)
    table = core.holder.current
    state.set({'of': 'configuration'}, table.version if table else 0)
    state.set({'of': 'connections'}, connections)
    state.set(
        {'of': 'streams'}, sum(len(core.live.of(u)) for u in all_upstreams)
    )
    state.set({'of': 'peers'}, peers.peer_count)
    state.set({'of': 'quarantined'}, len(core.quarantine.entries))
    for kind, count in core.quarantine.count_by_kind().items():
        quarantined.set({'kind': kind}, count)
    for service in core.engine_speeds.services:
        noise = core.engine_speeds.noise(service)
        values = {
            'spread': core.engine_speeds.spread(service),
            'noise_share': noise.share,
            'noise_factor': noise.factor,
            'noise_onsets': noise.onsets_per_s,
        }
        for name, value in values.items():
            engine_speeds.set({'service': service, 'of': name}, value)
    datagrams.set({'result': 'taken'}, peers.accepted)
    datagrams.set({'result': 'left_out'}, peers.dropped)


def _observe_versions(found: Iterable[upstream_lib.Upstream]) -> None:
    """Counts the upstreams of each software version."""
    counts = collections.Counter(
        (one.service, one.software_version) for one in found if not one.leaving
    )
    for pair in _observed_versions | counts.keys():
        service, version = pair
        labels = {'service': service, 'version': version}
        engines.set(labels, counts[pair])
    _observed_versions.update(counts)
