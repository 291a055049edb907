"""Tests of claims of idempotency keys."""

from __future__ import annotations

import asyncio
import unittest

from quetzalsill.error import base
from tests.quetzalsill_router.durable import virtual, world


class RepeatTest(unittest.TestCase):
    """The same key comes twice."""

    def test_at_once_through_one_router(self):
        """An app sends an order twice within a millisecond.

        Both claims go into one transaction. Its conditions are checked
        before its writes, so both would succeed and two trucks would go.
        """

        async def story():
            board = world.World(['a'])
            await asyncio.sleep(1)
            router = board.routers['a']
            told = [
                router.serve(world.make_entry(name, key='k'))
                for name in ('order', 'again')
            ]
            await asyncio.sleep(20)
            self.assertEqual(board.runs('order') + board.runs('again'), 1)
            self.assertEqual(told[0].request, told[1].request)
            self.assertEqual(told[0].answer, told[1].answer)

        virtual.run(story)

    def test_answer_lost_after_the_write(self):
        """An order is claimed, but the store's answer to that is lost.

        The router repeats the claim and finds the key held. The holder is
        its own request, so it must go on instead of waiting for itself.
        """

        async def story():
            board = world.World(['a'])
            await asyncio.sleep(1)
            board.routers['a'].link.faults['claims'].append('lost')
            told = board.routers['a'].serve(world.make_entry('order', key='k'))
            await asyncio.sleep(20)
            self.assertEqual(told.ran, base.Ran.YES)
            self.assertEqual(board.runs('order'), 1)

        virtual.run(story)

    def test_another_body(self):
        """A key comes again with another body: refused, and not run."""

        async def story():
            board = world.World(['a', 'b'])
            await asyncio.sleep(1)
            board.routers['a'].serve(world.make_entry('order', key='k'))
            await asyncio.sleep(1)
            other = world.make_entry('other', key='k', digest='e')
            told = board.routers['b'].serve(other)
            await asyncio.sleep(20)
            self.assertEqual(told.ran, base.Ran.NO)
            self.assertEqual(board.runs('other'), 0)

        virtual.run(story)

    def test_refused_key_is_free(self):
        """An order is refused as not run, so its repeat must be served.

        The table is down when the key is to be claimed: the order is
        refused. When the retailer sends it again, the key must be free even
        though the first claim may have reached the table after all.
        """

        async def story():
            board = world.World(['a', 'b'])
            await asyncio.sleep(1)
            board.routers['a'].link.faults['claims'].extend(['late'] * 3)
            first = board.routers['a'].serve(world.make_entry('o1', key='k'))
            await asyncio.sleep(10)
            second = board.routers['b'].serve(world.make_entry('o2', key='k'))
            await asyncio.sleep(20)
            self.assertEqual(first.ran, base.Ran.NO)
            self.assertEqual(second.ran, base.Ran.YES)
            self.assertEqual(board.runs('o1'), 0)

        virtual.run(story)


if __name__ == '__main__':
    unittest.main()
