"""Unary calls, from a caller through the gateway to a server and back."""

from __future__ import annotations

import asyncio
import unittest

from tests.quetzalsill_platform import fixture

PREFIX = 'x-quetzalsill-'


class ForwardTest(fixture.GatewayTestCase):
    """Forwarding of requests and responses."""

    async def test_method_path_query_and_body_arrive_unchanged(self):
        target = '/safe/a%2Fb/?x=1&y=%20&empty='
        response = await self.request(
            target, method='POST', body=b'\x00\xff body', request_id='r1'
        )
        self.assertEqual((response.status, response.complete), (200, True))
        [(request_id, seen, headers, body)] = self.runs
        self.assertEqual((request_id, seen), ('r1', target))
        self.assertEqual(body, b'\x00\xff body')
        self.assertEqual(headers['host'], 'shop.example')
        self.assertIn(PREFIX + 'server-stamp', response.headers)

    async def test_only_the_system_sets_what_is_its_own(self):
        """A caller sends headers that only the gateway may set.

        They name the account, the expected server, a hold, a pin, a backup and
        a copy to start from. Forwarding them would bill another account or give
        the caller another request's KV cache.
        """
        forged = {
            'X-Quetzalsill-Tenant': 'second',
            'X-Quetzalsill-Expect-Instance': 'desk-9',
            'X-Quetzalsill-Hold': 'h',
            'X-Quetzalsill-Pin-Ms': '100',
            'X-Quetzalsill-Kv-Backup': '1.2.3.4:5',
            'X-Quetzalsill-Request-Priority': '0',
            'Kv-From': '1.2.3.4:5/x',
            'Kv-Fetch': '1.2.3.4:5',
            'Connection': 'X-Secret',
            'X-Secret': 'hop',
            'X-Kept': 'kept',
        }
        response = await self.request('/safe/', headers=forged)
        self.assertEqual(response.status, 200)
        [(_, _, headers, _)] = self.runs
        self.assertEqual(headers[PREFIX + 'tenant'], 'first')
        self.assertIn(headers[PREFIX + 'expect-instance'], ('desk-1', 'desk-2'))
        self.assertEqual(headers['x-kept'], 'kept')
        for name in ('hold', 'pin-ms', 'kv-backup', 'request-priority'):
            self.assertNotIn(PREFIX + name, headers)
        for name in ('kv-from', 'kv-fetch', 'authorization', 'x-secret'):
            self.assertNotIn(name, headers)

    async def test_the_deadline_is_what_is_left(self):
        await self.request('/safe/', deadline_ms=900)
        await self.request('/safe/', deadline_ms=60_000)
        remaining_ms = [
            int(seen[2][PREFIX + 'deadline-ms']) for seen in self.runs
        ]
        self.assertLessEqual(min(remaining_ms), 900)
        self.assertLessEqual(max(remaining_ms), 4000, "the route's own timeout")

    async def test_unknown_route_key_and_id_are_told(self):
        for target, kwargs, status in (
            ('/none/', {}, 404),
            ('/safe/', {'host': 'other.example'}, 404),
            ('/safe/', {'key': ''}, 401),
            ('/safe/', {'key': 'key-9'}, 401),
            ('/public/', {'key': ''}, 200),
        ):
            with self.subTest(target=target, kwargs=kwargs):
                response = await self.request(target, **kwargs)
                self.assertEqual(
                    (response.status, response.complete), (status, True)
                )

    async def test_pipelined_requests_are_answered_in_order(self):
        caller = self.caller()
        await caller.open()
        ids = [caller.send('/safe/') for _ in range(4)]
        bodies = [(await caller.read()).body for _ in ids]
        for request_id, body in zip(ids, bodies, strict=True):
            self.assertTrue(body.endswith(request_id.encode()), body)


class RejectionTest(fixture.GatewayTestCase):
    """A server rejects all calls within a millisecond."""

    async def test_rejections_are_no_fast_calls(self):
        """A server that sheds load looks faster than all others."""
        shedding, working = self.http_servers
        shedding.scripts = ['shed'] * 100
        working.work_s = 0.03
        stats_table = self.process.core.stats_table
        found = self.process.core.upstreams.get(shedding.id)
        initial_s = stats_table.of(found).mean_latency_s
        for _ in range(30):
            response = await self.request('/safe/1')
            self.assertEqual(response.status, 200)
        self.assertGreater(len(shedding.arrivals), 0)
        self.assertEqual(stats_table.of(found).mean_latency_s, initial_s)


class MisbehaviourTest(fixture.GatewayTestCase):
    """Responses to callers of servers that misbehave."""

    async def test_idempotent_work_is_sent_once_more(self):
        """One server fails in various ways, and the other one works.

        An idempotent request is retried, and its caller gets the complete
        response.
        """
        for script in (
            'fail',
            'false_503',
            'reset',
            'truncate',
            'garbage',
            'no_receipt',
            'moved',
            'shed',
            'hang',
        ):
            with self.subTest(script):
                self.script(script)
                response = await self.request('/safe/')
                self.assertEqual(
                    (response.status, response.complete), (200, True)
                )

    async def test_what_is_turned_away_counts_as_sent_again(self):
        """A restarted server rejects a request for its previous incarnation.

        The request is sent again and uses the retry budget, as it had reached a
        server.
        """
        budget = self.process.core.budget
        before = len(budget._retries.get('desk', ()))
        self.script('moved')
        self.assertEqual((await self.request('/unsafe/')).status, 200)
        self.assertEqual(len(budget._retries['desk']), before + 1)

    async def test_work_at_most_once_runs_once(self):
        """The response to an executed order is lost, or is a false 503.

        A retry would execute the order twice; so would its caller, if it were
        told that the order has not run.
        """
        for script in ('reset', 'truncate', 'garbage', 'false_503'):
            with self.subTest(script):
                self.script(script)
                before = len(self.runs)
                response = await self.request(
                    '/unsafe/', method='POST', body=b'1'
                )
                self.assertEqual(response.status, 502)
                self.assertEqual(len(self.runs), before + 1)
                self.script()

    async def test_a_refusal_has_a_retry_after_header(self):
        self.script('shed')
        response = await self.request('/unsafe/')
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers['retry-after']), 0)
        self.assertEqual(self.runs, [])
        self.assertNotIn(PREFIX + 'server-stamp', response.headers)

    async def test_a_servers_own_failure_is_handed_on_unchanged(self):
        self.script('fail')
        response = await self.request('/unsafe/', request_id='r7')
        self.assertEqual((response.status, response.complete), (500, True))
        self.assertIn(PREFIX + 'server-stamp', response.headers)
        self.assertTrue(response.body.endswith(b':r7'))

    async def test_a_failure_is_handed_on_though_the_second_send_is_refused(
        self,
    ):
        """One server fails the call, and the other one is full.

        The caller gets the first server's response, as a 503 would say that the
        request has not run.
        """
        self.script('fail', 'shed')
        response = await self.request('/safe/')
        self.assertEqual(response.status, 500)

    async def test_extra_answers_belong_to_no_request(self):
        """A server responds twice to an earlier request.

        Taking the extra response for that of the next request would give one
        caller the response to another.
        """
        for script in ('extra', 'stale'):
            with self.subTest(script):
                self.script(script)
                for number in range(6):
                    request_id = f'{script}-{number}'
                    response = await self.request(
                        '/safe/', request_id=request_id
                    )
                    self.assertEqual(response.status, 200)
                    self.assertTrue(
                        response.body.endswith(request_id.encode()),
                        response.body,
                    )

    async def test_an_answer_without_length_is_whole_at_its_end(self):
        self.script('unframed')
        response = await self.request('/unsafe/')
        self.assertEqual((response.status, response.complete), (200, True))

    async def test_a_missing_response_ends_at_the_deadline(self):
        self.script('hang', 'hang', 'hang')
        response = await self.request('/unsafe/', deadline_ms=200)
        self.assertEqual((response.status, response.complete), (504, True))
        self.assertEqual(len(self.runs), 1)

    async def test_a_caller_that_leaves_ends_the_work(self):
        """A caller disconnects while its request hangs at a server.

        The gateway closes the server's connection, so that it can stop.
        """
        self.script('hang')
        caller = self.caller()
        await caller.open()
        caller.send('/unsafe/')
        await self.wait_until(lambda: self.runs)
        stats_table = self.process.core.stats_table
        upstreams = self.process.core.upstreams.available('desk')
        caller.disconnect()
        await self.wait_until(
            lambda: (
                not any(
                    stats_table.of(server).outstanding for server in upstreams
                )
            )
        )


class HangingTest(fixture.GatewayTestCase):
    """Servers that hang and have a small connection limit."""

    services = {'desk': {'maxConnections': 3}}

    async def test_what_has_no_connection_left_is_refused_as_not_run(self):
        """Both servers hang, and each call opens another connection.

        Servers reset connections above their limit. Whether the requests on
        those have run would be unknown, and their callers could not retry.
        """
        self.script(*['hang'] * 20)
        callers = [self.caller() for _ in range(4)]
        for caller in callers:
            await caller.open()
            caller.send('/unsafe/', deadline_ms=3000)
        await self.wait_until(lambda: len(self.runs) == 4)
        response = await self.request('/unsafe/', deadline_ms=3000)
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers['retry-after']), 0)
        self.assertEqual(len(self.runs), 4)

    async def test_a_call_that_hangs_is_known_before_its_deadline(self):
        """A request hangs until its deadline, which is seconds away.

        If the hang were noticed only then, further requests would go to the
        same server in the meantime.
        """
        self.script('hang')
        caller = self.caller()
        await caller.open()
        caller.send('/unsafe/', deadline_ms=3000)
        await self.wait_until(lambda: self.runs)
        stats_table = self.process.core.stats_table
        [hanging] = [
            server
            for server in self.process.core.upstreams.available('desk')
            if stats_table.of(server).outstanding
        ]
        stats = stats_table.of(hanging)
        await self.wait_until(lambda: stats.hangs.consecutive)
        self.assertEqual(stats.outstanding, 1)

    async def test_a_call_waits_for_a_moment_for_a_connection(self):
        self.script(*['hang'] * 4)
        callers = [self.caller() for _ in range(4)]
        for caller in callers:
            await caller.open()
            caller.send('/unsafe/', deadline_ms=3000)
        await self.wait_until(lambda: len(self.runs) == 4)
        waiting = asyncio.create_task(self.request('/unsafe/'))
        await asyncio.sleep(0.02)
        callers[0].disconnect()
        self.assertEqual((await waiting).status, 200)


if __name__ == '__main__':
    unittest.main()
