"""Datagrams that are late, duplicated, outdated or malformed."""

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
from quetzalsill_gateway.watch import update as update_lib
from tests.quetzalsill_gateway import quotas

ADDRESS = ('10.0.0.1', 7000)
OTHER_ADDRESS = ('10.0.0.2', 7000)


def state_of(number, incarnation=1, node='entry-1'):
    return state.State(node, incarnation, number, {})


class PeerTableTest(unittest.TestCase):
    """Which states are accepted."""

    def setUp(self):
        self.table = peer_table.PeerTable()

    def accept(self, found, now=0.0, address=ADDRESS):
        return self.table.accept(found, address, now)

    def test_sequence_number_is_accepted_once_and_never_after_a_newer_one(self):
        numbers = (1, 1, 3, 2, 3, 4)
        accepted = [self.accept(state_of(number)) for number in numbers]
        self.assertEqual(accepted, [True, False, True, False, False, True])

    def test_ended_incarnation_is_not_accepted_again(self):
        """A gateway restarts; an hour later an older datagram arrives.

        Accepted, it would restore the usage of runs that ended long ago.
        """
        self.assertTrue(self.accept(state_of(900, incarnation=1)))
        self.assertTrue(self.accept(state_of(1, incarnation=2), now=1.0))
        self.assertFalse(self.accept(state_of(901, incarnation=1), now=3600.0))
        self.assertTrue(self.accept(state_of(2, incarnation=2), now=3600.0))

    def test_name_with_several_addresses_is_accepted_from_one(self):
        self.assertTrue(self.accept(state_of(1)))
        self.assertFalse(self.accept(state_of(2), 0.1, OTHER_ADDRESS))
        self.assertTrue(self.accept(state_of(3), 0.2))
        self.assertTrue(
            self.accept(state_of(4), 5.0, OTHER_ADDRESS),
            'the address has changed',
        )
        self.assertEqual(self.table.addresses, [OTHER_ADDRESS])

    def test_number_of_peers_is_bounded(self):
        for number in range(peer_table.MAX_PEERS + 50):
            self.accept(state_of(1, node=f'n-{number}'))
        self.assertEqual(len(self.table), peer_table.MAX_PEERS)
        self.assertEqual(
            len(self.table.remove_expired(9.0)), peer_table.MAX_PEERS
        )

    def test_fault_logging_is_rate_limited_per_sender(self):
        times = (0.0, 1.0, 59.0, 61.0)
        is_logged = [self.table.should_log_fault('a', now) for now in times]
        self.assertEqual(is_logged, [True, False, False, True])
        for number in range(3 * peer_table.MAX_LOGGED_SENDERS):
            self.table.should_log_fault(f's-{number}', 0.0)
        self.assertLessEqual(
            len(self.table._logged_s), peer_table.MAX_LOGGED_SENDERS
        )


class FloodTest(unittest.IsolatedAsyncioTestCase):
    """A gateway that receives invalid datagrams."""

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
        self.receiver = exchange.Exchange(core, 'entry-9', None)
        self.receiver._transport = mock.Mock()

    async def test_flood_keeps_memory_and_log_bounded(self):
        rng = random.Random(1)
        with mock.patch.object(event, 'note') as note:
            for number in range(3000):
                data = rng.randbytes(rng.choice((1, 20, 65_000)))
                self.receiver.datagram_received(data, ADDRESS)
                usage = {
                    f'u-{number}-{n}': Usage(2**60, 1, 1) for n in range(4)
                }
                flood = state.State(f'g-{number % 7}', 1, number, usage)
                self.receiver.datagram_received(
                    state.encode(flood), OTHER_ADDRESS
                )
        self.assertLessEqual(
            len(self.core.stats_table.items()), upstream_stats.MAX_UPSTREAMS
        )
        malformed = [
            call
            for call in note.call_args_list
            if isinstance(call.args[0], event.DatagramMalformed)
        ]
        self.assertEqual(len(malformed), 1)

    async def test_only_known_peers_get_a_snapshot(self):
        """The configuration contains callers' keys."""
        self.receiver.on_snapshot_request(
            lambda: update_lib.ConfigurationUpdate(
                revision.Revision(0, 7), 3, b'keys'
            )
        )
        request = frame.pack(frame.Kind.SNAPSHOT_REQUEST, ('stranger',))
        with mock.patch.object(event, 'note'):
            self.receiver.datagram_received(request, OTHER_ADDRESS)
            self.receiver._transport.sendto.assert_not_called()
            self.receiver.datagram_received(state.encode(state_of(1)), ADDRESS)
        self.receiver._transport.reset_mock()
        self.receiver.datagram_received(request, ADDRESS)
        [sent] = self.receiver._transport.sendto.call_args_list
        self.assertIn(b'keys', sent.args[0])
        self.assertEqual(sent.args[1], ADDRESS)

    async def test_other_protocol_version_is_dropped(self):
        good = state.encode(state_of(1))
        with mock.patch.object(frame, 'VERSION', frame.VERSION + 1):
            other = state.encode(state_of(2))
        with mock.patch.object(event, 'note'):
            self.receiver.datagram_received(other, ADDRESS)
            self.assertEqual(self.receiver.peer_count, 0)
            self.receiver.datagram_received(good, ADDRESS)
        self.assertEqual(self.receiver.peer_count, 1)

    def test_impossible_values_are_clamped(self):
        usage = {'u': Usage(2**63, -5, 2**60, failures=1e9)}
        raw = state.encode(state.State('a', 1, 1, usage))
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
    def test_sums_are_right_for_any_order_of_states(self, states):
        """Each engine's sum is that of the newest states of all gateways."""

        async def play():
            await self.asyncSetUp()
            stats_table = self.core.stats_table
            for node, incarnation, number, tokens, is_full in states:
                usage = {key: Usage(n, n, n) for key, n in tokens.items()}
                one = state.State(
                    node, incarnation, number, usage, is_full=is_full
                )
                self.receiver.datagram_received(state.encode(one), ADDRESS)
            for _, stats in stats_table.items():
                total = sum(
                    load.memory_tokens for load in stats._load_by_peer.values()
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
