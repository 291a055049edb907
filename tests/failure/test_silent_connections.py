"""Half-open connections on each hop, while new connections work.

A relay stops forwarding on its open connections without closing them, as when
a middlebox has lost their state; new connections work.
"""

from __future__ import annotations

import asyncio
import unittest

import httpx2

from quetzalsill.config import model
from quetzalsill_dev import board, caller
from tests.failure import fixture, harness, relayed

LINK = {'idle_s': 0.2, 'silence_s': 0.8}
STALL_TIMEOUT_S = 1.0
LARGE = 48 << 20
FAILED = 'event=attempt_failed'
STORE_TIMEOUT_S = 0.5
KEEP_ALIVE_INTERVAL_S = 0.2
ORDER_TIMEOUT_S = 2.0
# Timeouts may expire late on a loaded machine.
TIMEOUT_FACTOR = 8
DIRECTIONS = ({}, {'up': False}, {'down': False})


def _layout():
    layout = board.board_layout(engines=1, services=1, routers=1)
    layout.engines[0].token_s = 0.004
    return layout


class SilentTest(relayed.RelayedTestCase):
    """One engine, one HTTP service, one router; relays on each hop."""

    LAYOUT = _layout()
    RELAYED = ('sidecar:', 'upstream:', 'store')
    CHANGES = {
        'platform': {'timeout_s': STORE_TIMEOUT_S},
        'sidecar': {'link': LINK, 'timing': {'stall_s': STALL_TIMEOUT_S}},
        'router': {
            'links': LINK,
            'follow_interval_s': 0.2,
            'requests': {
                'keep_alive_s': KEEP_ALIVE_INTERVAL_S,
                'write_stall_s': 1.0,
            },
        },
    }

    @classmethod
    def configuration(cls):
        cfg = super().configuration()
        for route in cfg.services[board.SERVICE].routes:
            if route.path == '/orders':
                route.timeout_s = ORDER_TIMEOUT_S
        return cfg

    async def restore(self):
        app = self.cluster.upstreams[harness.APP]
        await self.cluster.switch(app, delay_s=0.0)
        await super().restore()

    async def wait_for_new_connection(self, hop, timeout_s):
        """Waits until the hop has a new connection, with a scaled timeout."""
        before = self.relays[hop].accepted
        async with asyncio.timeout(timeout_s * TIMEOUT_FACTOR):
            while self.relays[hop].accepted == before:  # noqa: ASYNC110
                await asyncio.sleep(relayed.POLL_INTERVAL_S)

    @fixture.on_cluster
    async def test_link_between_router_and_sidecar(self):
        """A request waits for its deadline although its upstream is healthy.

        A request is sent on an idle link that no longer forwards. The link is
        replaced within its timeout; then the sidecar reports that it never
        received the request, which is sent again and reaches the engine once.
        """
        hop = f'sidecar:{harness.ENGINE}'
        for directions in DIRECTIONS:
            with self.subTest(directions):
                self.relays[hop].silence(**directions)
                answer, task = self.start_request(10)
                await self.wait_for_new_connection(
                    hop, LINK['silence_s'] + LINK['idle_s']
                )
                await task
                self.assert_whole(answer, 10)
        self.assertEqual(len(await self.new_runs()), len(DIRECTIONS))

    @fixture.on_cluster
    async def test_stream_of_an_engine(self):
        """An answer stops in the middle and never continues.

        The connection to the engine stops forwarding before the response
        head, and its replacement in mid-answer; each is replaced within the
        stall timeout, and the stream resumes at the next event.
        """
        hop = f'upstream:{harness.ENGINE}'
        engine = self.cluster.upstreams[harness.ENGINE]
        await self.cluster.switch(engine, stall=True)
        answer, task = self.start_request(300)
        await self.wait_until(self.new_runs)
        self.relays[hop].silence()
        await self.cluster.switch(engine, stall=False)
        await self.wait_for_tokens(10, answer)
        self.assertLess(len(answer.texts), 300)
        self.relays[hop].silence(up=False)
        await task
        self.assert_whole(answer, 300)
        self.assertEqual(len(await self.new_runs()), 1)

    @fixture.on_cluster
    async def test_order_whose_answer_never_comes(self):
        """An order is reported as not run although it ran.

        The connection to the service stops forwarding with an order in
        progress. This can't be told from a slow server, so only the timeout of
        the route ends it. The outcome is then unknown; the order is not
        repeated, and the next one succeeds.
        """
        app = self.cluster.upstreams[harness.APP]
        await self.cluster.switch(app, delay_s=0.5)
        order_task = asyncio.create_task(self.send_order('truck-1'))
        await self.wait_until(lambda: self.count_orders('truck-1'))
        self.relays[f'upstream:{harness.APP}'].silence()
        response = await order_task
        error = response.json()['error']
        self.assertIn(error['code'], ('deadline_exceeded', 'outcome_unknown'))
        self.assertIsNone(error['not_run'])
        self.assertEqual((await self.send_order('truck-2')).status_code, 200)
        for name in ('truck-1', 'truck-2'):
            self.assertEqual(await self.count_orders(name), 1)

    async def send_order(self, name):
        """Sends an order to the service."""
        token = board.TOKENS['retailers']
        async with caller.open_client(self.url(), token) as client:
            return await client.post(
                f'/services/{board.SERVICE}/orders', json={'id': name}
            )

    async def count_orders(self, name):
        """Number of times the service received the order."""
        return (await self.cluster.audit(harness.APP))['orders'].get(name, 0)

    @fixture.on_cluster
    async def test_connections_to_the_store(self):
        """Patient work is refused and edits ignored although the store is up.

        All connections to the store stop forwarding. A call that times out
        closes the other connections too; prompt work is served meanwhile,
        then plans are accepted again and the newest edit becomes active.
        """
        store = self.relays['store']
        store.silence()
        prompt, prompting = self.start_request(10)
        await self.wait_for_new_connection('store', STORE_TIMEOUT_S)
        await prompting
        self.assert_whole(prompt, 10)
        # The launcher publishes without the relay.
        self.cluster.configuration.profiles['fresh'] = model.Profile()
        await self.cluster.publish()
        store.silence(up=False)

        async def accepted(profile):
            answer, task = self.start_request(10, profile=profile)
            await task
            if answer.status == 503:
                self.assertIs(answer.error['error']['not_run'], True)
            return answer.is_complete

        async with asyncio.timeout(STORE_TIMEOUT_S * TIMEOUT_FACTOR):
            await self.wait_until(lambda: accepted('patient'))
        await self.wait_until(lambda: accepted('fresh'))
        served = [run['tokens'] for run in await self.new_runs()]
        self.assertEqual(served, [10, 10, 10])

    @fixture.on_cluster
    async def test_connection_of_a_caller(self):
        """A client waits forever for the rest of an answer.

        The connection between client and router stops forwarding in
        mid-answer. The client detects it by the missing comment lines, and
        gets the complete answer by its idempotency key on a new connection;
        the generation runs once.
        """
        proxy = await self.caller_relay()
        token = board.TOKENS['retailers']
        key_header = {'idempotency_key': 'plan-of-the-day'}
        headers = {
            'idempotency-key': key_header['idempotency_key'],
            'x-quetzalsill-profile': 'patient',
        }
        sent = relayed.body(300) | {'stream': True}
        url = f'http://127.0.0.1:{proxy.port}'
        async with caller.open_client(url, token) as client:
            client.timeout = httpx2.Timeout(
                KEEP_ALIVE_INTERVAL_S * TIMEOUT_FACTOR
            )
            stream = client.stream(
                'POST', '/v1/completions', json=sent, headers=headers
            )
            with self.assertRaises(httpx2.ReadTimeout):
                async with stream as response:
                    lines = response.aiter_lines()
                    await anext(lines)
                    proxy.silence(up=False)
                    async for _ in lines:
                        pass
        answer, task = self.start_request(300, profile='patient', **key_header)
        await task
        self.assert_whole(answer, 300)
        self.assertEqual(len(await self.new_runs()), 1)

    async def caller_relay(self):
        """Returns a relay between a client and the router."""
        (router,) = self.cluster.routers.values()
        await self.via('sidecar:caller', router.address)
        return self.relays['sidecar:caller']

    @fixture.on_cluster
    async def test_caller_that_reads_nothing(self):
        """Unread responses fill the memory and block other requests.

        A client stops reading a response that is larger than all buffers. The
        router closes the connection within the write timeout, and the call to
        the service ends.
        """
        token = board.TOKENS['retailers']
        path = f'/services/{board.SERVICE}/large?bytes={LARGE}'
        (router,) = self.cluster.routers.values()
        sidecar = self.cluster.sidecars[harness.APP]
        failed = sidecar.log_text().count(FAILED)
        async with (
            caller.open_client(self.url(), token) as client,
            client.stream('GET', path),
        ):
            await self.wait_until(
                lambda: (
                    'reason=write_stalled' in router.log_text()
                    and sidecar.log_text().count(FAILED) > failed
                )
            )


if __name__ == '__main__':
    unittest.main()
