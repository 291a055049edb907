"""Gateways that exchange their states and updates."""

from __future__ import annotations

import asyncio
import socket
import time
import types
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_dev.testing import pause
from quetzalsill_gateway import error, event, retry_budget, source
from quetzalsill_gateway.balance import admission, upstream_stats
from quetzalsill_gateway.fleet import (
    members,
    publish_timing,
    revision,
    upstream,
)
from quetzalsill_gateway.fleet.usage import Usage
from quetzalsill_gateway.peers import (
    delta,
    exchange,
    frame,
    state,
    update_codec,
)
from quetzalsill_gateway.stream import link_queue, live, loop_delay
from quetzalsill_gateway.watch import epoch, membership
from quetzalsill_gateway.watch import update as update_lib
from tests.quetzalsill_gateway import quotas

BOUND_S = 10.0
COUNT = st.integers(0, 2**40)
NAME = st.text(max_size=8)
STATES = st.builds(
    state.State,
    st.text(max_size=10),
    COUNT,
    COUNT,
    st.dictionaries(
        st.text(max_size=8),
        st.builds(Usage, COUNT, COUNT, COUNT, COUNT, st.floats(0, 1000)),
    ),
    st.lists(st.text(max_size=8)).map(tuple),
    st.dictionaries(
        st.text(max_size=8), st.dictionaries(st.integers(0, 20), COUNT)
    ),
    st.dictionaries(
        st.text(max_size=8), st.dictionaries(st.text(max_size=8), COUNT)
    ),
    st.booleans(),
    st.booleans(),
)
UPSTREAMS = st.builds(
    upstream.Upstream,
    NAME,
    NAME,
    st.tuples(NAME, st.integers(1, 65535)),
    NAME,
    st.integers(1, 100),
    st.booleans(),
    incarnation=COUNT,
)
REVISIONS = st.builds(revision.Revision, COUNT, COUNT)
UPDATES = st.one_of(
    st.builds(
        update_lib.ConfigurationUpdate, REVISIONS, COUNT, st.binary(max_size=20)
    ),
    st.builds(
        update_lib.MembershipUpdate,
        REVISIONS,
        REVISIONS,
        st.lists(
            st.one_of(
                st.builds(
                    lambda found, newest: upstream.Change(
                        found.id, newest, found
                    ),
                    UPSTREAMS,
                    REVISIONS,
                ),
                st.builds(
                    upstream.Change, NAME, REVISIONS, st.none(), st.booleans()
                ),
            ),
            max_size=3,
        ).map(tuple),
        st.floats(0, 60),
    ),
)


def decode_datagram(data):
    """Returns the content of a datagram of any kind."""
    kind, fields = frame.unpack(data)
    if kind is frame.Kind.STATE:
        return state.decode(fields)
    return update_codec.decode(kind, fields)


def comparable(update):
    """Returns an update with its upstreams as comparable values."""
    if isinstance(update, update_lib.ConfigurationUpdate):
        return update
    return (
        update.since,
        update.revision,
        update.grace_s,
        [
            (
                one.id,
                one.revision,
                one.may_have_lapsed if one.upstream is None else True,
                one.upstream
                and [
                    getattr(one.upstream, name)
                    for name in upstream.Upstream.__slots__
                ],
            )
            for one in update.changes
        ],
    )


class StateTest(unittest.TestCase):
    """Encoding of datagrams."""

    @settings(derandomize=True, deadline=None)
    @given(STATES)
    def test_state_round_trip(self, sent):
        self.assertEqual(decode_datagram(state.encode(sent)), sent)

    @settings(derandomize=True, deadline=None)
    @given(UPDATES)
    def test_update_round_trip(self, update):
        node, decoded = decode_datagram(update_codec.encode('entry-1', update))
        self.assertEqual(
            (node, comparable(decoded)), ('entry-1', comparable(update))
        )

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(st.binary(max_size=40))
    def test_arbitrary_bytes_raise_peer_error(self, data):
        with self.assertRaises(error.PeerError):
            decode_datagram(data)

    @settings(derandomize=True, deadline=None)
    @given(
        st.one_of(
            STATES.map(state.encode),
            UPDATES.map(lambda update: update_codec.encode('entry-1', update)),
        ),
        st.data(),
    )
    def test_corrupted_datagram_decodes_or_raises_peer_error(
        self, datagram, data
    ):
        raw = bytearray(datagram)
        raw[data.draw(st.integers(0, len(raw) - 1))] ^= data.draw(
            st.integers(1, 255)
        )
        try:
            found = decode_datagram(bytes(raw))
        except error.PeerError:
            return
        self.assertIsInstance(found, state.State | tuple)


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Three gateways and a directory."""

    async def asyncSetUp(self):
        self.directory = {}
        self.is_directory_down = False
        self.gateways = [await self.start(f'entry-{n}') for n in (1, 2, 3)]

    async def start(self, node):
        core = types.SimpleNamespace(
            stats_table=upstream_stats.StatsTable(),
            upstreams=upstream.Upstreams(),
            link_queue=link_queue.LinkQueue(),
            health=source.Health(),
            budget=retry_budget.RetryBudget(0.2, 10.0, 10.0, 16),
            loop_delay=loop_delay.LoopDelay(),
        )
        core.live = live.LiveStreams(core.stats_table)
        core.members = members.Members('entry-1')
        core.admission = admission.Admission(
            core.upstreams, core.stats_table, 'z', quotas.unbounded()
        )
        self.epochs = epoch.EpochTracker()
        found = exchange.Exchange(core, node, self.join, self.epochs)
        await found.open(('127.0.0.1', 0))
        tasks = [
            asyncio.create_task(work())
            for work in (found.join_directory, found.publish_changes)
        ]
        self.addCleanup(found.close)
        for task in tasks:
            self.addCleanup(task.cancel)
        found.core, found.tasks = core, tasks
        return found

    async def join(self, node, address):
        if self.is_directory_down:
            raise error.SourceError('down')
        others = {n: a for n, a in self.directory.items() if n != node}
        self.directory[node] = address
        return others

    async def test_pause_of_the_process_is_noted(self):
        """A pause of this process makes an engine look slow."""
        delay = self.gateways[0].core.loop_delay
        await self.until(lambda: delay.ticks)
        late_ticks = delay.late_ticks
        clock = asyncio.get_running_loop().time
        paused_s = clock()
        time.sleep(2 * exchange.PUBLISH_INTERVAL_S)  # noqa: ASYNC251
        self.assertTrue(delay.was_late(paused_s, clock()))
        await self.until(lambda: delay.late_ticks > late_ticks)
        self.assertTrue(delay.was_late(paused_s, clock()))

    async def until(self, condition):
        async with asyncio.timeout(BOUND_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    def use(self, gateway, tokens):
        stats = gateway.core.stats_table._get_or_create('u-1')
        stats.reservations = {upstream_stats.Reservation(10, tokens)}

    def reserved(self, gateway):
        return gateway.core.stats_table._get_or_create('u-1').reserved_tokens

    async def test_usage_reaches_all_gateways(self):
        await self.until(lambda: all(g.peer_count == 2 for g in self.gateways))
        self.use(self.gateways[0], 100)
        self.use(self.gateways[1], 20)
        await self.until(
            lambda: [self.reserved(g) for g in self.gateways] == [120] * 3
        )
        self.gateways[0].core.stats_table._get_or_create(
            'u-1'
        ).reservations = set()
        await self.until(
            lambda: [self.reserved(g) for g in self.gateways] == [20] * 3
        )

    async def test_leaving_notice_reaches_all_immediately(self):
        """One gateway learns that an engine is leaving between others' polls.

        Published only with the next change of usage, or after a second, the
        notice would arrive when the engine has almost stopped. Some engines
        give no notice before their entry is removed.
        """
        await self.until(lambda: all(g.peer_count == 2 for g in self.gateways))
        for gateway in self.gateways:
            for number in (1, 2):
                address = ('10.0.0.1', number)
                found = upstream.Upstream(f'u-{number}', 's', address, 'z')
                gateway.core.upstreams.put(found, revision.Revision(0, 1))
        # Full states still in transit would contain the notice too.
        await asyncio.sleep(0.5)
        first, *others = (g.core.upstreams for g in self.gateways)
        with mock.patch.multiple(
            publish_timing, FULL_STATE_S=1000.0, KEEPALIVE_S=1000.0
        ):
            first.mark_leaving(first.get('u-1'), 'membership')
            first.remove('u-2', revision.Revision(0, 2))
            await self.until(
                lambda: all(
                    found.get(name).leaving
                    for found in others
                    for name in ('u-1', 'u-2')
                )
            )

    async def test_generation_is_published_when_it_starts(self):
        """Many gateways choose the same engine within a tenth of a second.

        Without each other's choices, each sees free capacity there. The engine
        preempts what doesn't fit, whose prompts are then processed twice.
        """
        await self.until(lambda: all(g.peer_count == 2 for g in self.gateways))
        found = upstream.Upstream('u-1', 's', ('10.0.0.1', 1), 'z')
        stream = live.Stream(None, None, upstream_stats.Reservation(10, 100))
        with mock.patch.object(exchange, 'PUBLISH_INTERVAL_S', 1000.0):
            # Loops that already wait would publish it at the next interval.
            await asyncio.sleep(0.2)
            self.gateways[0].core.live.place(stream, found)
            await self.until(
                lambda: [self.reserved(g) for g in self.gateways] == [100] * 3
            )

    async def test_silent_gateway_is_removed(self):
        """A gateway is killed, and the capacity that it used is free again.

        If it still counted, idle engines would get no work.
        """
        self.use(self.gateways[0], 100)
        await self.until(lambda: self.reserved(self.gateways[2]) == 100)
        for task in self.gateways[0].tasks:
            task.cancel()
        await self.until(lambda: self.reserved(self.gateways[2]) == 0)

    async def test_paused_gateway_removes_no_peers(self):
        """Otherwise, runs go to engines that other gateways have filled."""
        first, second, _ = self.gateways
        self.use(second, 100)
        await self.until(lambda: self.reserved(first) == 100)
        notes = []
        with (
            mock.patch.multiple(
                publish_timing, PEER_TIMEOUT_S=0.5, KEEPALIVE_S=0.1
            ),
            mock.patch.object(event, 'note', notes.append),
        ):
            await asyncio.sleep(0.3)
            for other in self.gateways:
                second._send_full_state(('127.0.0.1', other.port))
            pause.pause(1.0)
            await asyncio.sleep(0.3)
        lost = [one for one in notes if isinstance(one, event.PeerLost)]
        self.assertNotIn('entry-2', [one.peer for one in lost])
        self.assertEqual(self.reserved(first), 100)

    async def test_restarted_gateway_is_accepted_immediately(self):
        """A gateway restarts, and its sequence numbers start at 1 again.

        Taken for stale, its datagrams would be dropped for as long as its
        previous process had been running.
        """
        first = self.gateways[0]
        await self.until(lambda: first.peer_count == 2)
        for _ in range(50):
            first._send_full_state(('127.0.0.1', self.gateways[1].port))
        await asyncio.sleep(0.05)
        first._deltas = delta.DeltaTracker('entry-1', 1)
        self.use(first, 77)
        await self.until(lambda: self.reserved(self.gateways[1]) == 77)

    async def test_stale_datagram_is_dropped(self):
        receiver = self.gateways[1]
        usage = {'u-1': Usage(5, 0, 1)}
        for number, tokens in ((7, 50), (6, 40)):
            found = state.State(
                'entry-9', 1, number, {'u-1': Usage(tokens, 0, 1)}
            )
            receiver.datagram_received(state.encode(found), ('127.0.0.1', 9))
        self.assertEqual(self.reserved(receiver), 50)
        self.assertIn('u-1', usage)

    async def test_store_outage_is_published(self):
        """An engine gets its notice to leave while the store is unavailable.

        Each gateway detects the outage when its own poll ends, up to two
        seconds later, when the notice is over. The first to detect it
        publishes it to all.
        """
        first, second, _ = self.gateways
        first._core.health.mark_down('servers', 'silent')
        async with asyncio.timeout(BOUND_S):
            await second._core.health.wait_until_down()
        self.assertFalse(
            second._core.health.is_down, 'the store responds to it'
        )
        first._core.health.mark_up('servers')
        down = second._core.health._down
        await self.until(lambda: not down.is_set())

    async def test_new_engine_reaches_other_gateways(self):
        """One gateway has found a new engine, the others wait to poll.

        Until the update arrives, their requests wait although there is free
        capacity.
        """
        first, second, _ = self.gateways
        await self.until(lambda: all(g.peer_count == 2 for g in self.gateways))
        found = membership.Membership(
            None, second._core.upstreams, second._core.health, 2.0
        )
        found._revision = revision.Revision(0, 7)
        second.on_update(update_lib.MembershipUpdate, found.handle_update)
        engine = upstream.Upstream('u-1', 's', ('10.0.0.1', 80), 'z')
        change = upstream.Change('u-1', revision.Revision(0, 8), engine)
        first.announce(
            update_lib.MembershipUpdate(
                found._revision, change.revision, (change,)
            )
        )
        await self.until(lambda: second._core.upstreams.available('s'))

    async def test_pending_moves_are_published(self):
        first, second, _ = self.gateways
        first._core.link_queue.add('u-1', 'r-1', 10)
        second._core.link_queue.add('u-1', 'r-2', 20)
        queue = second._core.link_queue
        await self.until(lambda: not queue.is_next('u-1', 'r-2', 0.0, 9.0))
        first._core.link_queue.remove('u-1', 'r-1')
        await self.until(lambda: queue.is_next('u-1', 'r-2', 0.0, 9.0))

    async def test_relay_only_for_and_to_known_peers(self):
        """An unknown host asks a gateway to forward a datagram.

        If that were allowed, any host could make the fleet flood another.
        """
        one, two = await self.start('entry-1'), await self.start('entry-2')
        await self.until(
            lambda: (
                ('127.0.0.1', two.port) in one._peers.addresses
                and ('127.0.0.1', one.port) in two._peers.addresses
            )
        )
        received = []
        two.on_update(update_lib.ConfigurationUpdate, received.append)
        update = update_lib.ConfigurationUpdate(revision.Revision(0, 5), 7)
        data = update_codec.encode('entry-3', update)
        known = ('127.0.0.1', two.port)
        group = [(socket.inet_aton(known[0]), known[1])]
        relayed = frame.pack(frame.Kind.RELAY, (data, group))
        before = one.dropped
        one.datagram_received(relayed, ('127.0.0.1', 9))
        self.assertEqual(one.dropped, before + 1)
        one.datagram_received(relayed, known)
        await self.until(lambda: received)
        self.assertEqual(received, [update])

    async def test_unavailable_directory_is_retried(self):
        self.is_directory_down = True
        late = await self.start('entry-4')
        await asyncio.sleep(0.1)
        self.assertEqual(late.peer_count, 0)
        self.is_directory_down = False
        await self.until(lambda: late.peer_count == 3)

    async def test_directory_entry_is_rewritten_in_a_new_epoch(self):
        """The source is restored from a copy that lacks a gateway's entry.

        Unless it is written again, gateways that start would not find this one
        for as long as it runs.
        """
        with (
            mock.patch.object(exchange, 'JOIN_RETRY_S', 0.01),
            mock.patch.object(exchange, 'REJOIN_SPREAD_S', 0.05),
        ):
            late = await self.start('entry-4')
            epochs = self.epochs
            epochs.observe('write', 1, 0)
            for number in (2, 3):
                await self.until(lambda: 'entry-4' in self.directory)
                await asyncio.sleep(0.1)
                del self.directory['entry-4']
                epochs.observe('write', number, epochs.newest)
            await self.until(lambda: 'entry-4' in self.directory)
        self.assertEqual(self.directory['entry-4'], f'127.0.0.1:{late.port}')


if __name__ == '__main__':
    unittest.main()
