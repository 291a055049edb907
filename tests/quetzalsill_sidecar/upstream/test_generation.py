"""Generations whose reader is paused while events arrive."""

from __future__ import annotations

import asyncio
import json
import unittest

from quetzalsill_dev.testing import pause
from quetzalsill_sidecar.upstream import engine, generation, http

TIMEOUTS = generation.Timeouts(stall_s=0.3, resume_s=0.2, refused_s=0.1)
EVENT = {'generation': 'g', 'index': 0}
ANSWER = (
    'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    'connection: close\r\n\r\n'
    f'data: {json.dumps(EVENT)}\n\ndata: [DONE]\n\n'
)


class GenerationTest(unittest.IsolatedAsyncioTestCase):
    """The engine responds while its client is paused."""

    async def asyncSetUp(self):
        self.request_writer = asyncio.get_running_loop().create_future()
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        await self.enterAsyncContext(server)
        host, port = server.sockets[0].getsockname()
        self.engine = engine.Engine(http.Origin(host, port), 1.0, 1.0)

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        if not self.request_writer.done():
            self.request_writer.set_result(writer)

    async def test_events_that_came_during_a_pause_are_delivered(self):
        """A generation is given up as lost although the engine continues it.

        The pause exceeds the stall timeout, but the events are already
        in the socket's buffer.
        """
        delivered = []

        async def deliver(events):
            delivered.extend(events)

        run = generation.Generation(self.engine, 'a', TIMEOUTS, deliver)
        resumed = asyncio.create_task(run.resume())
        writer = await self.request_writer
        writer.write(ANSWER.encode())
        writer.write_eof()
        pause.pause(2 * TIMEOUTS.stall_s)
        await resumed
        self.assertEqual([json.loads(one) for one in delivered], [EVENT])


if __name__ == '__main__':
    unittest.main()
