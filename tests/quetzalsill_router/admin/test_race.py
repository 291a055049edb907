"""Concurrent edits through two routers, on a stand-in of the platform."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.config import store
from tests.quetzalsill.platform import standin
from tests.quetzalsill_router.admin import fake

OPERATOR_COUNT = 3
EDITS_PER_OPERATOR = 4
TIMEOUT_S = 60
RETRYABLE_STATUSES = (503, 504)


async def edit(call, operator, number):
    """Makes one edit as the command line does.

    Returns:
      The edit id and its revision.
    """
    edit_id = ''
    while True:
        _, read, _ = await call('get', f'/profiles/{operator}')
        value = read['value'] | {'retries': number}
        edit_id = f'{operator}-{number}-{read["revision"]}'
        status = 503
        while status in RETRYABLE_STATUSES:
            status, body, _ = await call(
                'put',
                f'/profiles/{operator}',
                value,
                If_Match=str(read['revision']),
                X_Edit_Id=edit_id,
            )
        if status == 200:
            return edit_id, body['revision']


class RacingOperatorsTest(unittest.IsolatedAsyncioTestCase):
    """Three operators, two routers and a store that loses responses."""

    async def asyncSetUp(self):
        self.platform = await standin.start(self, 'store')
        self.clients = await standin.open_clients(self, self.platform.url, 2.0)

    async def client(self, name):
        config_store = store.ConfigStore(
            self.clients.table, self.clients.objects
        )
        return await fake.Router(config_store, name).client()

    async def test_each_accepted_edit_is_one_revision_and_stays(self):
        """Concurrent edits must not be undone by others or applied twice.

        Three operators edit at the same time, and the store loses some
        responses after the write, so that the router does not know the
        outcome and the operator retries.
        """
        first, second = await self.client('a'), await self.client('b')
        plain = fake.sample_configuration()
        names = [f'profile-{n}' for n in range(OPERATOR_COUNT)]
        plain['profiles'] |= {name: {} for name in names}
        status, _, _ = await first(
            'put', '/config', plain, token=fake.BOOTSTRAP, If_Match='0'
        )
        self.assertEqual(200, status)
        await second('get', '/config', token=fake.BOOTSTRAP)

        async def edit_repeatedly(call, name):
            accepted = []
            for number in range(EDITS_PER_OPERATOR):
                self.platform.faults.switches.lose_answers = number % 2
                accepted.append(await edit(call, name, number))
            return accepted

        async with asyncio.timeout(TIMEOUT_S):
            results = await asyncio.gather(
                edit_repeatedly(first, names[0]),
                edit_repeatedly(second, names[1]),
                edit_repeatedly(second, names[2]),
            )
        accepted = dict(pair for edits in results for pair in edits)
        _, body, _ = await first('get', '/history?limit=100')
        history = {e['edit']: e['revision'] for e in body['entries'][:-1]}
        self.assertEqual(accepted, history)
        self.assertEqual(
            OPERATOR_COUNT * EDITS_PER_OPERATOR, len(set(accepted.values()))
        )
        for edit_id, revision in accepted.items():
            _, body, _ = await first(
                'get', f'/diff?from={revision - 1}&to={revision}'
            )
            name = edit_id.rsplit('-', 2)[0]
            self.assertEqual(
                [f'profiles.{name}.retries'],
                [change['path'] for change in body['changes']],
            )
        _, body, _ = await second('get', '/profiles')
        for name in names:
            self.assertEqual(
                EDITS_PER_OPERATOR - 1, body['value'][name]['retries']
            )


if __name__ == '__main__':
    unittest.main()
