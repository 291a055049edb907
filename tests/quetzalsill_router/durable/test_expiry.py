"""Tests of the end of what was kept."""

from __future__ import annotations

import asyncio
import dataclasses
import unittest

from quetzalsill.error import request as request_error
from tests.quetzalsill_router.durable import virtual, world

RETENTION_S = 200.0
CFG = dataclasses.replace(world.CFG, retention_s=RETENTION_S)


def rows(board, table):
    return [row.key for row in board.platform.rows.scan(table)]


class ExpiryTest(unittest.TestCase):
    """Requests older than the retention."""

    def test_settled_requests_go(self):
        """Answers, keys and index rows go, also those of a dead router."""

        async def story():
            board = world.World(['a', 'b'], cfg=CFG)
            await asyncio.sleep(1)
            entries = [
                world.make_entry(f'r{node}{n}', key=f'k{node}{n}')
                for node in ('a', 'b')
                for n in range(20)
            ]
            for n, entry in enumerate(entries):
                board.routers['ab'[n // 20]].serve(entry)
                await asyncio.sleep(0.1)
            await asyncio.sleep(20)
            board.routers['a'].kill()
            await asyncio.sleep(RETENTION_S / 2)
            answers = board.routers['b'].state.answers
            for entry in entries:
                stored = await answers.get(world.ACCOUNT, entry.request)
                self.assertEqual(
                    stored.answer.events[0].split()[0], entry.payload
                )
            await asyncio.sleep(2 * RETENTION_S)
            self.assertEqual(rows(board, 'routers'), ['b.1.1'])
            self.assertEqual(rows(board, 'claims'), [])
            self.assertEqual(rows(board, 'answers'), [])
            (seal,) = board.platform.objects
            self.assertTrue(seal.startswith('journal/a.1.1/'))
            with self.assertRaises(request_error.NotFoundError):
                await answers.get(world.ACCOUNT, entries[0].request)

        virtual.run(story)

    def test_unsettled_request_stays(self):
        """A plan that waits longer than the retention is still recovered.

        Its record lies far behind the end of the log, with much settled
        since, when its router dies. Erasing its segment would lose it.
        """

        async def story():
            board = world.World(['a', 'b'], cfg=CFG)
            await asyncio.sleep(1)
            waiting = world.make_entry('plan')
            await board.routers['a'].state.journal.accept(waiting)
            for n in range(200):
                board.routers['a'].serve(world.make_entry(f'r{n}'))
                await asyncio.sleep(3)
            board.routers['a'].kill()
            answer = (
                await board.routers['b'].state.answers.wait(
                    world.ACCOUNT, waiting.request, 60
                )
            ).answer
            self.assertEqual(answer.events, [b'plan planner-0 1'])

        virtual.run(story)


if __name__ == '__main__':
    unittest.main()
