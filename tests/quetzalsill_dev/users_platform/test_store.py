"""Tests of the stand-in store: conditions, eras, restored snapshots."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import unittest

from quetzalsill_dev.users_platform import caller, store

TIMEOUT_S = 5.0


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """A store and its clients."""

    async def asyncSetUp(self):
        self.store = store.Store()
        await self.store.server.start()
        self.addAsyncCleanup(self.store.server.stop)

    async def call(self, target, body=None):
        """Sends a call on a new connection and returns the response."""
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
        """Returns the decoded rows of a table, by key."""
        found = json.loads((await self.call(f'rows-get?table={table}')).body)
        return {
            row['key']: json.loads(base64.b64decode(row['value']))
            for row in found['rows']
        }

    async def restore(self, snapshot, **more):
        """Restores a snapshot, by default without delays."""
        more = {'outage_s': 0.0, 'rewrite_s': 0.0} | more
        await self.store.restore(snapshot, random.Random(1), **more)


class ConditionTest(StoreTest):
    """Conditional writes."""

    async def test_a_row_is_created_once(self):
        first = await self.write('a', b'1', expected=0)
        self.assertEqual(first.status, 200)
        second = await self.write('a', b'2', expected=0)
        self.assertEqual(second.status, 412)
        [row] = json.loads(second.body)['rows']
        self.assertEqual((row['key'], row['ver']), ('a', 1))
        self.assertEqual(await self.rows('status'), {'a': 1})

    async def test_a_conflict_with_a_missing_row_returns_no_rows(self):
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

    async def test_writes_to_external_tables_are_refused(self):
        row = {'table': 'op', 'part': '', 'key': 'config', 'value': ''}
        for body in ({'writes': [row]}, {'remove': [row]}):
            refused = await self.call('rows-tx', body)
            self.assertEqual(refused.status, 403)


class EraTest(StoreTest):
    """The era in responses."""

    async def eras(self):
        """Returns the era header of each kind of response."""
        refused = {'writes': [{'table': 'op', 'key': 'k', 'value': ''}]}
        responses = [
            await self.call('rows-get?table=op'),
            await self.call('rows-tx', refused),
            await self.write('a', b'1', expected=9),
            await self.call('unknown'),
        ]
        self.store.always_gone = True
        responses.append(await self.feed(0))
        self.store.down = 'busy'
        responses.append(await self.call('rows-get?table=op'))
        self.store.down, self.store.always_gone = '', False
        statuses = [response.status for response in responses]
        self.assertEqual(statuses, [200, 403, 412, 404, 410, 503])
        return [response.headers.get('store-era') for response in responses]

    async def test_no_response_has_one_by_default(self):
        self.assertEqual(await self.eras(), [None] * 6)

    async def test_every_response_has_it(self):
        self.store.era = 4
        self.assertEqual(await self.eras(), ['4'] * 6)
        await self.restore(self.store.snapshot())
        self.assertEqual(await self.eras(), ['5'] * 6)

    async def test_each_fault_replaces_it(self):
        self.store.era = 4
        values = {}
        for name in store.ERA_FAULTS:
            self.store.era_fault = name
            [values[name]] = set(await self.eras())
        huge = values.pop('huge')
        self.assertEqual(len(huge), 400)
        expected = {'absent': None, 'text': 'era 4', 'fraction': '4.5'}
        expected |= {'negative': '-4', 'falls': '3', 'jumps': '11'}
        self.assertEqual(values, expected)


class RestoreTest(StoreTest):
    """Restoring a snapshot."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store.era = 1
        for key in ('a', 'b'):
            self.store.put('servers', key, {'n': 1})
        self.snapshot = self.store.snapshot()

    async def test_versions_are_reused(self):
        self.store.put('servers', 'c', {'n': 2})
        self.store.load_snapshot(self.snapshot)
        self.store.put('servers', 'd', {'n': 3})
        [row] = json.loads((await self.feed(2)).body)['rows']
        self.assertEqual((row['key'], row['ver']), ('d', 3))

    async def test_a_watch_after_the_snapshot_gets_410(self):
        self.store.put('servers', 'c', {'n': 2})
        self.store.load_snapshot(self.snapshot)
        self.assertEqual((await self.feed(3)).status, 410)
        self.assertEqual((await self.feed(2)).status, 200)

    async def test_without_eras_a_watch_of_a_higher_version_waits(self):
        self.store.era = None
        self.assertEqual((await self.feed(9)).status, 200)

    async def test_only_external_tables_are_rewritten(
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

    async def test_rows_written_meanwhile_stay(self):
        self.store.put('servers', 'a', {'n': 2})
        restoring = asyncio.create_task(
            self.restore(self.snapshot, rewrite_s=0.2)
        )
        await asyncio.sleep(0.01)
        self.store.put('servers', 'a', {'n': 3})
        await restoring
        self.assertEqual((await self.rows('servers'))['a'], {'n': 3})

    async def test_overlapping_restores_lose_nothing(self):
        for key in 'cdefgh':
            self.store.put('servers', key, {'n': 2})
        held = await self.rows('servers')
        restores = [
            self.restore(self.snapshot, rewrite_s=0.2) for _ in range(2)
        ]
        await asyncio.gather(*restores)
        self.assertEqual(await self.rows('servers'), held)
        self.assertEqual(self.store.era, 3)

    async def test_the_seed_determines_the_order(self):
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

    async def test_the_outage_precedes_the_restore(self):
        restoring = asyncio.create_task(
            self.restore(self.snapshot, outage_s=2.0)
        )
        await asyncio.sleep(0.02)
        self.assertEqual((await self.feed(0)).status, 503)
        await restoring
        self.assertEqual((await self.feed(0)).status, 200)
        restoring = asyncio.create_task(
            self.restore(self.snapshot, down='reset', outage_s=2.0)
        )
        await asyncio.sleep(0.02)
        self.assertEqual((await self.feed(0)).status, 0)
        await restoring

    async def test_rows_written_in_the_outage_appear_at_its_end(
        self,
    ):
        """A pending watch gets no change for a row written in the outage."""
        self.store.put('servers', 'c', {'n': 2})
        self.store.skip(4)
        waiting = asyncio.create_task(self.feed(7, wait_ms=300))
        await asyncio.sleep(0.05)
        restoring = asyncio.create_task(
            self.restore(
                self.snapshot,
                outage_s=0.1,
                immediate_share=1.0,
                skipped_versions=9,
            )
        )
        await asyncio.sleep(0.05)
        self.store.put('servers', 'd', {'n': 4})
        await restoring
        self.assertEqual((await self.rows('servers'))['d'], {'n': 4})
        response = await waiting
        self.assertEqual(response.headers['store-era'], '2')
        found = json.loads(response.body)
        self.assertEqual((found['ver'], found['rows']), (13, []))

    async def test_pending_watches_are_reset_or_get_a_response(self):
        self.store.put('servers', 'c', {'n': 2})
        for cuts, status in ((True, 0), (False, 410)):
            self.store.resets_watches = cuts
            waiting = asyncio.create_task(self.feed(3, wait_ms=4000))
            await asyncio.sleep(0.05)
            self.store.load_snapshot(self.snapshot)
            self.assertEqual((await waiting).status, status)
            self.store.put('servers', 'c', {'n': 2})

    async def test_versions_exceed_those_before_the_restore(self):
        """A watch misses a row without a 410.

        This happens if the version after the restore exceeds the one before.
        """
        self.store.put('servers', 'c', {'n': 2})
        self.store.put('servers', 'd', {'n': 2})
        self.store.skip(4)
        restoring = asyncio.create_task(
            self.restore(
                self.snapshot,
                immediate_share=0.5,
                skipped_versions=9,
                rewrite_s=0.1,
            )
        )
        await restoring
        response = await self.feed(8)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers['store-era'], '2')
        [row] = json.loads(response.body)['rows']
        self.assertEqual(row['ver'], 13)
        self.assertEqual(set(await self.rows('servers')), {*'abcd'})


if __name__ == '__main__':
    unittest.main()
