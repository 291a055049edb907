"""Gateways that tell each other what they hold."""

from __future__ import annotations

import asyncio
import socket
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
from quetzalsill_gateway.stream import link_queue, live
from quetzalsill_gateway.watch import epoch, membership, update
from tests.quetzalsill_gateway import quotas

BOUND_S = 10.0
COUNT = st.integers(0, 2**40)
WORD = st.text(max_size=8)
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
    WORD,
    WORD,
    st.tuples(WORD, st.integers(1, 65535)),
    WORD,
    st.integers(1, 100),
    st.booleans(),
    incarnation=COUNT,
)
REVISIONS = st.builds(revision.Revision, COUNT, COUNT)
NEWS = st.one_of(
    st.builds(
        update.ConfigurationUpdate, REVISIONS, COUNT, st.binary(max_size=20)
    ),
    st.builds(
        update.MembershipUpdate,
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
                    upstream.Change, WORD, REVISIONS, st.none(), st.booleans()
                ),
            ),
            max_size=3,
        ).map(tuple),
        st.floats(0, 60),
    ),
)


def told_again(data):
    """Returns what a datagram holds, whatever it is."""
    kind, fields = frame.unpack(data)
    if kind is frame.Kind.STATE:
        return state.decode(fields)
    return update_codec.decode(kind, fields)


def plain(told):
    """Returns news with its upstreams as comparable values."""
    if isinstance(told, update.ConfigurationUpdate):
        return told
    return (
        told.since,
        told.revision,
        told.grace_s,
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
            for one in told.changes
        ],
    )


class StateTest(unittest.TestCase):
    """The form of a datagram."""

    @settings(derandomize=True, deadline=None)
    @given(STATES)
    def test_what_is_told_is_what_is_heard(self, told):
        self.assertEqual(told_again(state.encode(told)), told)

    @settings(derandomize=True, deadline=None)
    @given(NEWS)
    def test_news_are_heard_as_they_are_told(self, told):
        node, heard = told_again(update_codec.encode('entry-1', told))
        self.assertEqual((node, plain(heard)), ('entry-1', plain(told)))

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(st.binary(max_size=40))
    def test_any_other_bytes_are_a_typed_failure(self, data):
        with self.assertRaises(error.PeerError):
            told_again(data)

    @settings(derandomize=True, deadline=None)
    @given(
        st.one_of(
            STATES.map(state.encode),
            NEWS.map(lambda told: update_codec.encode('entry-1', told)),
        ),
        st.data(),
    )
    def test_a_damaged_datagram_never_breaks_the_hearer(self, told, data):
        raw = bytearray(told)
        raw[data.draw(st.integers(0, len(raw) - 1))] ^= data.draw(
            st.integers(1, 255)
        )
        try:
            found = told_again(bytes(raw))
        except error.PeerError:
            return
        self.assertIsInstance(found, state.State | tuple)


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Three gateways and a directory."""

    async def asyncSetUp(self):
        self.directory = {}
        self.down = False
        self.gateways = [await self.start(f'entry-{n}') for n in (1, 2, 3)]

    async def start(self, node):
        core = types.SimpleNamespace(
            stats_table=upstream_stats.StatsTable(),
            upstreams=upstream.Upstreams(),
            link_queue=link_queue.LinkQueue(),
            health=source.Health(),
            budget=retry_budget.RetryBudget(0.2, 10.0, 10.0, 16),
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
        if self.down:
            raise error.SourceError('down')
        others = {n: a for n, a in self.directory.items() if n != node}
        self.directory[node] = address
        return others

    async def until(self, condition):
        async with asyncio.timeout(BOUND_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    def hold(self, gateway, tokens):
        stats = gateway.core.stats_table._get_or_create('u-1')
        stats.reservations = {upstream_stats.Reservation(10, tokens)}

    def heard(self, gateway):
        return gateway.core.stats_table._get_or_create('u-1').reserved_tokens

    async def test_all_hear_what_each_holds_and_gives_back(self):
        await self.until(lambda: all(g.peer_count == 2 for g in self.gateways))
        self.hold(self.gateways[0], 100)
        self.hold(self.gateways[1], 20)
        await self.until(
            lambda: [self.heard(g) for g in self.gateways] == [120] * 3
        )
        self.gateways[0].core.stats_table._get_or_create(
            'u-1'
        ).reservations = set()
        await self.until(
            lambda: [self.heard(g) for g in self.gateways] == [20] * 3
        )

    async def test_a_notice_reaches_all_at_once(self):
        """One gateway hears that an engine leaves, the others pause.

        Told with the next change of what is held, or after a second, the
        notice would come when the engine is nearly gone. Some engines say
        nothing before their entry is removed.
        """
        await self.until(lambda: all(g.peer_count == 2 for g in self.gateways))
        for gateway in self.gateways:
            for number in (1, 2):
                address = ('10.0.0.1', number)
                found = upstream.Upstream(f'u-{number}', 's', address, 'z')
                gateway.core.upstreams.put(found, revision.Revision(0, 1))
        # Greetings that are on their way would carry the notice too.
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

    async def test_a_generation_is_told_as_it_begins(self):
        """Many gateways choose the same engine within a tenth of a second.

        Each sees room there and has not heard of the others; the engine
        pushes off what does not fit, and its prompts are read twice.
        """
        await self.until(lambda: all(g.peer_count == 2 for g in self.gateways))
        found = upstream.Upstream('u-1', 's', ('10.0.0.1', 1), 'z')
        stream = live.Stream(None, None, upstream_stats.Reservation(10, 100))
        with mock.patch.object(exchange, 'PUBLISH_INTERVAL_S', 1000.0):
            # Loops that wait already would tell it with the next change.
            await asyncio.sleep(0.2)
            self.gateways[0].core.live.place(stream, found)
            await self.until(
                lambda: [self.heard(g) for g in self.gateways] == [100] * 3
            )

    async def test_a_silent_gateway_is_forgotten(self):
        """A gateway is killed; what it held is free again at the engines.

        Counted on, it would keep work away from engines that are idle.
        """
        self.hold(self.gateways[0], 100)
        await self.until(lambda: self.heard(self.gateways[2]) == 100)
        for task in self.gateways[0].tasks:
            task.cancel()
        await self.until(lambda: self.heard(self.gateways[2]) == 0)

    async def test_who_was_paused_forgets_nobody(self):
        """After a pause, runs go to engines that other gateways have filled."""
        first, second, _ = self.gateways
        self.hold(second, 100)
        await self.until(lambda: self.heard(first) == 100)
        notes = []
        with (
            mock.patch.multiple(
                publish_timing, PEER_TIMEOUT_S=0.5, KEEPALIVE_S=0.1
            ),
            mock.patch.object(event, 'note', notes.append),
        ):
            await asyncio.sleep(0.3)
            for other in self.gateways:
                second._greet(('127.0.0.1', other.port))
            pause.pause(1.0)
            await asyncio.sleep(0.3)
        lost = [one for one in notes if isinstance(one, event.PeerLost)]
        self.assertNotIn('entry-2', [one.peer for one in lost])
        self.assertEqual(self.heard(first), 100)

    async def test_a_restarted_gateway_is_heard_at_once(self):
        """A gateway restarts at its address; its datagrams count from 1 anew.

        Taken for old ones, they would be left out for as long as its first
        process lived.
        """
        first = self.gateways[0]
        await self.until(lambda: first.peer_count == 2)
        for _ in range(50):
            first._greet(('127.0.0.1', self.gateways[1].port))
        await asyncio.sleep(0.05)
        first._deltas = delta.DeltaTracker('entry-1', 1)
        self.hold(first, 77)
        await self.until(lambda: self.heard(self.gateways[1]) == 77)

    async def test_an_overtaken_datagram_is_left_out(self):
        hearer = self.gateways[1]
        held = {'u-1': Usage(5, 0, 1)}
        for number, tokens in ((7, 50), (6, 40)):
            told = state.State(
                'entry-9', 1, number, {'u-1': Usage(tokens, 0, 1)}
            )
            hearer.datagram_received(state.encode(told), ('127.0.0.1', 9))
        self.assertEqual(self.heard(hearer), 50)
        self.assertIn('u-1', held)

    async def test_an_outage_of_the_store_is_told(self):
        """The store is away while an engine gets its notice.

        Each gateway sees that at the end of its own watch, up to two seconds
        later; the notice is over by then. Whoever sees it first tells all.
        """
        first, second, _ = self.gateways
        first._core.health.mark_down('servers', 'silent')
        async with asyncio.timeout(BOUND_S):
            await second._core.health.wait_until_down()
        self.assertFalse(second._core.health.is_down, 'its own store answers')
        first._core.health.mark_up('servers')
        down = second._core.health._down
        await self.until(lambda: not down.is_set())

    async def test_an_engine_that_one_has_found_is_known_to_all(self):
        """An engine has come; one gateway has looked, the others wait.

        Requests wait there for room that is to be had already.
        """
        first, second, _ = self.gateways
        await self.until(lambda: all(g.peer_count == 2 for g in self.gateways))
        found = membership.Membership(
            None, second._core.upstreams, second._core.health, 2.0
        )
        found._revision = revision.Revision(0, 7)
        second.on_update(update.MembershipUpdate, found.handle_update)
        engine = upstream.Upstream('u-1', 's', ('10.0.0.1', 80), 'z')
        told = upstream.Change('u-1', revision.Revision(0, 8), engine)
        first.announce(
            update.MembershipUpdate(found._revision, told.revision, (told,))
        )
        await self.until(lambda: second._core.upstreams.available('s'))

    async def test_runs_to_move_are_told(self):
        first, second, _ = self.gateways
        first._core.link_queue.add('u-1', 'r-1', 10)
        second._core.link_queue.add('u-1', 'r-2', 20)
        queue = second._core.link_queue
        await self.until(lambda: not queue.is_next('u-1', 'r-2', 0.0, 9.0))
        first._core.link_queue.remove('u-1', 'r-1')
        await self.until(lambda: queue.is_next('u-1', 'r-2', 0.0, 9.0))

    async def test_news_is_passed_on_for_those_that_are_heard_only(self):
        """A stranger asks a gateway to send what it likes to whom it likes.

        Obeyed, any host could make the fleet flood any other.
        """
        one, two = await self.start('entry-1'), await self.start('entry-2')
        await self.until(lambda: one.peer_count == two.peer_count == 1)
        heard = []
        two.on_update(update.ConfigurationUpdate, heard.append)
        told = update.ConfigurationUpdate(revision.Revision(0, 5), 7)
        data = update_codec.encode('entry-3', told)
        here = ('127.0.0.1', two.port)
        group = [(socket.inet_aton(here[0]), here[1])]
        relayed = frame.pack(frame.Kind.RELAY, (data, group))
        before = one.dropped
        one.datagram_received(relayed, ('127.0.0.1', 9))
        self.assertEqual(one.dropped, before + 1)
        one.datagram_received(relayed, here)
        await self.until(lambda: heard)
        self.assertEqual(heard, [told])

    async def test_a_directory_that_is_away_is_asked_again(self):
        self.down = True
        late = await self.start('entry-4')
        await asyncio.sleep(0.1)
        self.assertEqual(late.peer_count, 0)
        self.down = False
        await self.until(lambda: late.peer_count == 3)

    async def test_its_entry_is_written_again_in_a_new_epoch(self):
        """The source comes back from a copy that lacks a gateway's entry.

        Trusted to last, it would be missing for as long as the gateway runs,
        and one that starts would not find it.
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
