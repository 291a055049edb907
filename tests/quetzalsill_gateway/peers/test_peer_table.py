"""Datagrams that are late, doubled, of another process or of a fault."""

from __future__ import annotations

import asyncio
import random
import types
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_gateway import event, retry_budget, source
from quetzalsill_gateway.balance import admission, upstream_stats
from quetzalsill_gateway.fleet import members, revision, upstream
from quetzalsill_gateway.fleet.usage import Usage
from quetzalsill_gateway.peers import exchange, frame, peer_table, state
from quetzalsill_gateway.stream import link_queue, live
from quetzalsill_gateway.watch import update
from tests.quetzalsill_gateway import quotas

HERE = ('10.0.0.1', 7000)
THERE = ('10.0.0.2', 7000)


def told(number, incarnation=1, node='entry-1'):
    return state.State(node, incarnation, number, {})


class PeerTableTest(unittest.TestCase):
    """Which states are taken in."""

    def setUp(self):
        self.table = peer_table.PeerTable()

    def take(self, found, now=0.0, address=HERE):
        return self.table.accept(found, address, now)

    def test_a_number_is_taken_once_and_never_after_a_newer(self):
        numbers = (1, 1, 3, 2, 3, 4)
        taken = [self.take(told(number)) for number in numbers]
        self.assertEqual(taken, [True, False, True, False, False, True])

    def test_a_process_that_has_ended_is_not_heard_again(self):
        """A gateway restarts; an hour later a datagram of before arrives.

        Taken in, it would bring back what was held by runs that are long over.
        """
        self.assertTrue(self.take(told(900, incarnation=1)))
        self.assertTrue(self.take(told(1, incarnation=2), now=1.0))
        self.assertFalse(self.take(told(901, incarnation=1), now=3600.0))
        self.assertTrue(self.take(told(2, incarnation=2), now=3600.0))

    def test_a_name_that_sends_from_many_addresses_is_heard_from_one(self):
        self.assertTrue(self.take(told(1)))
        self.assertFalse(self.take(told(2), 0.1, THERE))
        self.assertTrue(self.take(told(3), 0.2))
        self.assertTrue(self.take(told(4), 5.0, THERE), 'it has moved')
        self.assertEqual(self.table.addresses, [THERE])

    def test_names_without_end_take_no_memory_without_end(self):
        for number in range(peer_table.MAX_PEERS + 50):
            self.take(told(1, node=f'n-{number}'))
        self.assertEqual(len(self.table), peer_table.MAX_PEERS)
        self.assertEqual(
            len(self.table.remove_expired(9.0)), peer_table.MAX_PEERS
        )

    def test_a_sender_is_complained_about_once_in_a_while(self):
        times = (0.0, 1.0, 59.0, 61.0)
        told_of = [self.table.should_log_fault('a', now) for now in times]
        self.assertEqual(told_of, [True, False, False, True])
        for number in range(3 * peer_table.MAX_LOGGED_SENDERS):
            self.table.should_log_fault(f's-{number}', 0.0)
        self.assertLessEqual(
            len(self.table._logged_s), peer_table.MAX_LOGGED_SENDERS
        )


class FloodTest(unittest.IsolatedAsyncioTestCase):
    """A gateway that gets what no gateway sends."""

    async def asyncSetUp(self):
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
        self.core = core
        self.hearer = exchange.Exchange(core, 'entry-9', None)
        self.hearer._transport = mock.Mock()

    async def test_it_stays_bounded_whatever_comes(self):
        rng = random.Random(1)
        with mock.patch.object(event, 'note') as note:
            for number in range(3000):
                data = rng.randbytes(rng.choice((1, 20, 65_000)))
                self.hearer.datagram_received(data, HERE)
                held = {f'u-{number}-{n}': Usage(2**60, 1, 1) for n in range(4)}
                flood = state.State(f'g-{number % 7}', 1, number, held)
                self.hearer.datagram_received(state.encode(flood), THERE)
        self.assertLessEqual(
            len(self.core.stats_table.items()), upstream_stats.MAX_UPSTREAMS
        )
        malformed = [
            call
            for call in note.call_args_list
            if isinstance(call.args[0], event.DatagramMalformed)
        ]
        self.assertEqual(len(malformed), 1)

    async def test_only_a_gateway_that_is_heard_is_told_all(self):
        """Whoever asks for the configuration would get the callers' keys."""
        self.hearer.on_snapshot_request(
            lambda: update.ConfigurationUpdate(
                revision.Revision(0, 7), 3, b'keys'
            )
        )
        asked = frame.pack(frame.Kind.SNAPSHOT_REQUEST, ('stranger',))
        with mock.patch.object(event, 'note'):
            self.hearer.datagram_received(asked, THERE)
            self.hearer._transport.sendto.assert_not_called()
            self.hearer.datagram_received(state.encode(told(1)), HERE)
        self.hearer._transport.reset_mock()
        self.hearer.datagram_received(asked, HERE)
        [sent] = self.hearer._transport.sendto.call_args_list
        self.assertIn(b'keys', sent.args[0])
        self.assertEqual(sent.args[1], HERE)

    async def test_another_version_is_left_out(self):
        good = state.encode(told(1))
        with mock.patch.object(frame, 'VERSION', frame.VERSION + 1):
            other = state.encode(told(2))
        with mock.patch.object(event, 'note'):
            self.hearer.datagram_received(other, HERE)
            self.assertEqual(self.hearer.peer_count, 0)
            self.hearer.datagram_received(good, HERE)
        self.assertEqual(self.hearer.peer_count, 1)

    def test_figures_that_cannot_be_are_bounded(self):
        held = {'u': Usage(2**63, -5, 2**60, failures=1e9)}
        raw = state.encode(state.State('a', 1, 1, held))
        _, fields = frame.unpack(raw)
        found = state.decode(fields).usage['u']
        self.assertEqual(found.memory_tokens, frame.MAX_COUNT)
        self.assertEqual((found.prefill_tokens, found.failures), (0, 1000.0))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from('abc'),
                st.integers(0, 3),
                st.integers(0, 9),
                st.dictionaries(
                    st.sampled_from('uvw'), st.integers(0, 9), max_size=3
                ),
                st.booleans(),
            ),
            max_size=30,
        )
    )
    def test_any_order_of_states_leaves_the_sums_right(self, states):
        """What is summed up for each engine is what each gateway told last."""

        async def play():
            await self.asyncSetUp()
            stats_table = self.core.stats_table
            for node, incarnation, number, tokens, is_full in states:
                held = {key: Usage(n, n, n) for key, n in tokens.items()}
                one = state.State(
                    node, incarnation, number, held, is_full=is_full
                )
                self.hearer.datagram_received(state.encode(one), HERE)
            for _, stats in stats_table.items():
                total = sum(
                    told.memory_tokens for told in stats._load_by_peer.values()
                )
                self.assertEqual(stats.reserved_tokens, total)
            for node in 'abc':
                stats_table.replace_peer_loads(node, {})
            self.assertTrue(
                all(not stats.runs for _, stats in stats_table.items())
            )

        with mock.patch.object(event, 'note'):
            asyncio.run(play())


if __name__ == '__main__':
    unittest.main()
