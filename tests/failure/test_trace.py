"""Tracing of a request across all hops."""

from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

from quetzalsill_dev import board
from tests.failure import relayed

TRACE = '4bf92f3577b34da6a3ce929d0e0e4736'
CALLER_SPAN = '00f067aa0ba902b7'
HOPS = ['router.request', 'router.route', 'router.dispatch', 'sidecar.attempt']


class TraceTest(relayed.RelayedTestCase):
    """One router and one sidecar, which write spans to the same folder."""

    RELAYED = ()
    LAYOUT = board.board_layout(engines=1, services=0, routers=1)

    @classmethod
    def setUpClass(cls):
        cls.folder = pathlib.Path(
            cls.enterClassContext(tempfile.TemporaryDirectory())
        )
        cls.CHANGES = {
            role: {'telemetry': {'trace_file': str(cls.folder / role)}}
            for role in ('router', 'sidecar')
        }
        super().setUpClass()

    def spans(self):
        """Spans of the client's trace, by name."""
        lines = [
            json.loads(line)
            for file in self.folder.iterdir()
            for line in file.read_text().splitlines()
        ]
        return {
            record['name']: record
            for record in lines
            if record['trace'] == TRACE
        }

    @relayed.fixture.on_cluster
    async def test_each_hop_has_a_span_of_the_callers_trace(self):
        """The slow hop of a request can't be found.

        This happens if a hop has no span or a separate trace, or if its log
        lines lack the trace id.
        """
        answer, task = self.start_request(
            3, traceparent=f'00-{TRACE}-{CALLER_SPAN}-01'
        )
        self.assert_whole(await task, 3)
        await self.wait_until(lambda: self.spans().keys() >= set(HOPS))
        spans = self.spans()
        parent = CALLER_SPAN
        for name in ('router.request', 'router.dispatch', 'sidecar.attempt'):
            self.assertEqual(spans[name]['parent'], parent, name)
            parent = spans[name]['span']
        for process, event in (
            *((p, 'request_ended') for p in self.cluster.routers.values()),
            *((p, 'attempt_finished') for p in self.cluster.sidecars.values()),
        ):
            lines = process.log_text().splitlines()
            (line,) = (
                record
                for record in lines
                if answer.request in record and event in record
            )
            self.assertIn(f'trace={TRACE}', line)


if __name__ == '__main__':
    unittest.main()
