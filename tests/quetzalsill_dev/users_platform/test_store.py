"""The store's stand-in: conditions, eras, and its return from a copy."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import unittest

from quetzalsill_dev.users_platform import caller, store

TIMEOUT_S = 5.0


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """A store and whoever calls it."""

    async def asyncSetUp(self):
        self.store = store.Store()
        await self.store.server.start()
        self.addAsyncCleanup(self.store.server.stop)

    async def call(self, target, body=None):
        """Returns the answer to a call on a connection of its own."""
        conn = caller.Caller(*self.store.server.address)
        self.addCleanup(conn.disconnect)
        raw = b'' if body is None else json.dumps(body).encode()
        method = 'GET' if body is None else 'POST'
        async with asyncio.timeout(TIMEOUT_S):
            return await conn.request(f'/-/{target}', method=method, body=raw)

    async def feed(self, after, table='servers', wait_ms=0):
        query = f'table={table}&after={after}&waitMs={wait_ms}'
        return await self.call(f'rows-feed?{query}')

    async def write(self, key, value, expected=None, **more):
        row = {'table': 'status', 'part': '', 'key': key}
        text = base64.b64encode(value).decode()
        conditions = [] if expected is None else [row | {'ver': expected}]
        body = {
            'expectedRevision': conditions,
            'writes': [row | {'value': text}],
        }
        return await self.call('rows-tx', body | more)

    async def rows(self, table):
        """Returns what a table holds, by key."""
        found = json.loads((await self.call(f'rows-get?table={table}')).body)
        return {
            row['key']: json.loads(base64.b64decode(row['value']))
            for row in found['rows']
        }

    async def restore(self, copy, **more):
        """Comes back from a copy, with no time between."""
        more = {'outage_s': 0.0, 'rewrite_s': 0.0} | more
        await self.store.restore(copy, random.Random(1), **more)


class ConditionTest(StoreTest):
    """Writes that hold only if rows are as expected."""

    async def test_a_row_is_created_once(self):
        first = await self.write('a', b'1', expected=0)
        self.assertEqual(first.status, 200)
        second = await self.write('a', b'2', expected=0)
        self.assertEqual(second.status, 412)
        [row] = json.loads(second.body)['rows']
        self.assertEqual((row['key'], row['ver']), ('a', 1))
        self.assertEqual(await self.rows('status'), {'a': 1})

    async def test_a_row_that_is_gone_is_not_among_the_rows(self):
        refused = await self.write('a', b'1', expected=7)
        self.assertEqual(refused.status, 412)
        self.assertEqual(json.loads(refused.body)['rows'], [])

    async def test_rows_of_one_transaction_share_a_version(self):
        await self.write('a', b'1')
        drop = [{'table': 'status', 'part': '', 'key': 'a'}]
        await self.write('b', b'2', remove=drop)
        found = json.loads((await self.feed(1, 'status')).body)['rows']
        self.assertEqual([row['ver'] for row in found], [2, 2])
        self.assertEqual(await self.rows('status'), {'b': 2})

    async def test_tables_of_others_are_refused(self):
        row = {'table': 'op', 'part': '', 'key': 'config', 'value': ''}
        for body in ({'writes': [row]}, {'remove': [row]}):
            refused = await self.call('rows-tx', body)
            self.assertEqual(refused.status, 403)


class EraTest(StoreTest):
    """What answers say of the era."""

    async def eras(self):
        """Returns what each kind of answer tells."""
        refused = {'writes': [{'table': 'op', 'key': 'k', 'value': ''}]}
        answers = [
            await self.call('rows-get?table=op'),
            await self.call('rows-tx', refused),
            await self.write('a', b'1', expected=9),
            await self.call('unknown'),
        ]
        self.store.always_gone = True
        answers.append(await self.feed(0))
        self.store.down = 'busy'
        answers.append(await self.call('rows-get?table=op'))
        self.store.down, self.store.always_gone = '', False
        statuses = [answer.status for answer in answers]
        self.assertEqual(statuses, [200, 403, 412, 404, 410, 503])
        return [answer.headers.get('store-era') for answer in answers]

    async def test_no_answer_tells_one_by_default(self):
        self.assertEqual(await self.eras(), [None] * 6)

    async def test_every_answer_tells_it(self):
        self.store.era = 4
        self.assertEqual(await self.eras(), ['4'] * 6)
        await self.restore(self.store.snapshot())
        self.assertEqual(await self.eras(), ['5'] * 6)

    async def test_each_fault_is_told_in_its_place(self):
        self.store.era = 4
        told = {}
        for name in store.ERA_FAULTS:
            self.store.era_fault = name
            [told[name]] = set(await self.eras())
        huge = told.pop('huge')
        self.assertEqual(len(huge), 400)
        expected = {'absent': None, 'text': 'era 4', 'fraction': '4.5'}
        expected |= {'negative': '-4', 'falls': '3', 'jumps': '11'}
        self.assertEqual(told, expected)


class ReturnTest(StoreTest):
    """A return from a copy."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store.era = 1
        for key in ('a', 'b'):
            self.store.put('servers', key, {'n': 1})
        self.snapshot = self.store.snapshot()

    async def test_versions_are_given_out_again(self):
        self.store.put('servers', 'c', {'n': 2})
        self.store.load_snapshot(self.snapshot)
        self.store.put('servers', 'd', {'n': 3})
        [row] = json.loads((await self.feed(2)).body)['rows']
        self.assertEqual((row['key'], row['ver']), ('d', 3))

    async def test_a_watch_behind_the_copy_is_gone(self):
        self.store.put('servers', 'c', {'n': 2})
        self.store.load_snapshot(self.snapshot)
        self.assertEqual((await self.feed(3)).status, 410)
        self.assertEqual((await self.feed(2)).status, 200)

    async def test_without_eras_a_watch_ahead_waits(self):
        self.store.era = None
        self.assertEqual((await self.feed(9)).status, 200)

    async def test_rows_of_others_are_written_again_and_the_systems_are_not(
        self,
    ):
        self.store.put('servers', 'a', {'n': 2})
        self.store.remove('servers', 'b')
        self.store.put('op', 'evacuate/z', {})
        await self.write('mine', b'1')
        await self.restore(self.snapshot)
        self.assertEqual(await self.rows('servers'), {'a': {'n': 2}})
        self.assertEqual(await self.rows('op'), {'evacuate/z': {}})
        self.assertEqual(await self.rows('status'), {})

    async def test_what_is_written_meanwhile_stays(self):
        self.store.put('servers', 'a', {'n': 2})
        returning = asyncio.create_task(
            self.restore(self.snapshot, rewrite_s=0.2)
        )
        await asyncio.sleep(0.01)
        self.store.put('servers', 'a', {'n': 3})
        await returning
        self.assertEqual((await self.rows('servers'))['a'], {'n': 3})

    async def test_two_returns_that_overlap_lose_nothing(self):
        for key in 'cdefgh':
            self.store.put('servers', key, {'n': 2})
        held = await self.rows('servers')
        returns = [self.restore(self.snapshot, rewrite_s=0.2) for _ in range(2)]
        await asyncio.gather(*returns)
        self.assertEqual(await self.rows('servers'), held)
        self.assertEqual(self.store.era, 3)

    async def test_the_order_is_drawn_from_the_seed(self):
        for key in 'cdefgh':
            self.store.put('servers', key, {'n': 2})
        orders = []
        for seed in (1, 1, 2):
            await self.store.restore(
                self.snapshot, random.Random(seed), outage_s=0.0, rewrite_s=0.0
            )
            found = json.loads((await self.feed(2)).body)['rows']
            orders.append([row['key'] for row in found])
        self.assertEqual(orders[0], orders[1])
        self.assertNotEqual(orders[0], orders[2])

    async def test_it_is_away_first(self):
        returning = asyncio.create_task(
            self.restore(self.snapshot, outage_s=2.0)
        )
        await asyncio.sleep(0.02)
        self.assertEqual((await self.feed(0)).status, 503)
        await returning
        self.assertEqual((await self.feed(0)).status, 200)
        returning = asyncio.create_task(
            self.restore(self.snapshot, down='reset', outage_s=2.0)
        )
        await asyncio.sleep(0.02)
        self.assertEqual((await self.feed(0)).status, 0)
        await returning

    async def test_what_is_written_while_it_is_away_comes_with_its_return(
        self,
    ):
        """A watch that waits is told nothing of a row that came with it."""
        self.store.put('servers', 'c', {'n': 2})
        self.store.skip(4)
        waiting = asyncio.create_task(self.feed(7, wait_ms=300))
        await asyncio.sleep(0.05)
        returning = asyncio.create_task(
            self.restore(
                self.snapshot,
                outage_s=0.1,
                immediate_share=1.0,
                skipped_versions=9,
            )
        )
        await asyncio.sleep(0.05)
        self.store.put('servers', 'd', {'n': 4})
        await returning
        self.assertEqual((await self.rows('servers'))['d'], {'n': 4})
        answer = await waiting
        self.assertEqual(answer.headers['store-era'], '2')
        found = json.loads(answer.body)
        self.assertEqual((found['ver'], found['rows']), (13, []))

    async def test_watches_that_wait_are_cut_or_answered(self):
        self.store.put('servers', 'c', {'n': 2})
        for cuts, status in ((True, 0), (False, 410)):
            self.store.resets_watches = cuts
            waiting = asyncio.create_task(self.feed(3, wait_ms=4000))
            await asyncio.sleep(0.05)
            self.store.load_snapshot(self.snapshot)
            self.assertEqual((await waiting).status, status)
            self.store.put('servers', 'c', {'n': 2})

    async def test_versions_run_past_those_of_before(self):
        """The counter is past the old one: a watch misses a row, untold."""
        self.store.put('servers', 'c', {'n': 2})
        self.store.put('servers', 'd', {'n': 2})
        self.store.skip(4)
        returning = asyncio.create_task(
            self.restore(
                self.snapshot,
                immediate_share=0.5,
                skipped_versions=9,
                rewrite_s=0.1,
            )
        )
        await returning
        answer = await self.feed(8)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers['store-era'], '2')
        [row] = json.loads(answer.body)['rows']
        self.assertEqual(row['ver'], 13)
        self.assertEqual(set(await self.rows('servers')), {*'abcd'})


if __name__ == '__main__':
    unittest.main()
