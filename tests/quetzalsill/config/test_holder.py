"""Tests of `quetzalsill.config.holder`."""

from __future__ import annotations

import asyncio
import json
import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill.config import holder
from quetzalsill.schema import error


def document(revision):
    return json.dumps({'profiles': {f'p{revision}': {}}}).encode()


class HolderTest(unittest.IsolatedAsyncioTestCase):
    """The newest configuration is active, and its revision never decreases."""

    def test_starts_empty(self):
        held = holder.Holder()
        self.assertEqual((held.revision, held.current.profiles), (0, {}))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.lists(strategies.integers(-2, 8)))
    def test_revision_never_decreases(self, revisions):
        """An operator's edit would be undone for a while on one node.

        A lagging peer, a paused task and the store each deliver revisions
        late, again and out of order; an older one must change nothing.
        """
        held, seen = holder.Holder(), []
        held.on_change(lambda cfg: seen.append(cfg.revision))
        for revision in revisions:
            before = held.revision
            installed = held.install(document(revision), revision)
            self.assertEqual(installed, revision > before)
            self.assertEqual(held.revision, max(before, revision))
            if held.revision:
                self.assertIn(f'p{held.revision}', held.current.profiles)
        self.assertEqual(seen, sorted(set(seen)))

    def test_callbacks_receive_revisions_in_order(self):
        """Guards against a component that reverts to an old profile.

        The first callback installs a newer revision while an older one is
        being delivered; the second callback must not receive the older one
        after the newer one.
        """
        held, seen = holder.Holder(), []
        held.on_change(lambda _cfg: held.install(document(2), 2))
        held.on_change(lambda cfg: seen.append(cfg.revision))
        held.install(document(1), 1)
        self.assertEqual(seen, [1, 2])

    def test_failing_callback_does_not_block_the_others(self):
        held, seen = holder.Holder(), []

        def fail(_cfg):
            raise ValueError

        held.on_change(fail)
        held.on_change(lambda cfg: seen.append(cfg.revision))
        self.assertTrue(held.install(document(1), 1))
        self.assertEqual(seen, [1])

    def test_invalid_document_changes_nothing(self):
        held = holder.Holder()
        held.install(document(1), 1)
        with self.assertRaises(error.InvalidDocumentError):
            held.install(b'{"profile": {}}', 2)
        self.assertEqual((held.revision, held.document), (1, document(1)))

    async def test_wait_for_returns_once_active(self):
        held = holder.Holder()
        waiter = asyncio.create_task(held.wait_for(3))
        dropped = asyncio.create_task(held.wait_for(2))
        await asyncio.sleep(0)
        dropped.cancel()
        held.install(document(2), 2)
        await asyncio.sleep(0)
        self.assertFalse(waiter.done())
        held.install(document(5), 5)
        self.assertEqual((await waiter).revision, 5)
        self.assertTrue(dropped.cancelled())
