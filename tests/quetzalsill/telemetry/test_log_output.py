"""Tests of the log output: rate limits, and writes that never block."""

from __future__ import annotations

import io
import os
import threading
import unittest
from unittest import mock

import structlog

from quetzalsill.telemetry import log_output

LINE = 'event=something_happened detail=' + 'x' * 150 + '\n'


class LogOutputTest(unittest.TestCase):
    """A pipe whose reader stops and resumes."""

    def setUp(self):
        self.read_fd, write_fd = os.pipe()
        self.stream = os.fdopen(write_fd, 'w')
        self.limiter = log_output.RateLimiter()
        self.log_output = log_output.LogOutput(self.stream, self.limiter)
        self.addCleanup(self.stream.close)

    def write(self, count):
        """Writes lines in a thread, which must not block."""

        def work():
            for _ in range(count):
                self.log_output.write(LINE)

        writing = threading.Thread(target=work, daemon=True)
        writing.start()
        writing.join(timeout=20)
        self.assertFalse(
            writing.is_alive(), 'the write blocks until the pipe is read'
        )

    def test_a_reader_that_stops_does_not_block(self):
        """A gateway stalls while the log collector does not read its pipe.

        Lines are dropped and counted instead, and the count is written once
        the collector reads again.
        """
        self.write(20_000)
        self.assertGreater(self.log_output.unread, 0)
        dropped = self.log_output.unread
        received = b''
        while not received.endswith(b'\n') or len(received) < 60_000:
            received += os.read(self.read_fd, 65536)
        self.log_output.write('event=regained\n')
        tail = os.read(self.read_fd, 65536).decode()
        self.assertIn(f'event=lines_unread count={dropped}\n', tail)
        self.assertTrue(tail.endswith('event=regained\n'))
        os.close(self.read_fd)

    def test_a_closed_reader_does_not_block(self):
        os.close(self.read_fd)
        self.write(10)
        self.assertGreater(self.log_output.unread, 0)

    def test_a_long_line_is_cut(self):
        self.log_output.write('event=long detail=' + 'y' * 10_000 + '\n')
        received = os.read(self.read_fd, 65536)
        self.assertEqual(len(received), log_output.MAX_LINE_BYTES)
        self.assertTrue(received.endswith(b'\n'))
        os.close(self.read_fd)


class RateLimiterTest(unittest.TestCase):
    """Bursts of lines, with a clock under control of the test."""

    def setUp(self):
        self.clock = 0.0
        patch = mock.patch.object(
            log_output.time, 'monotonic', lambda: self.clock
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.limiter = log_output.RateLimiter(per_s=10, burst=20)

    def passed(self, event, count):
        passed_count = 0
        for _ in range(count):
            try:
                self.limiter(None, 'info', {'event': event})
            except structlog.DropEvent:
                continue
            passed_count += 1
        return passed_count

    def test_each_event_has_its_own_limit(self):
        self.assertEqual(self.passed('a', 100), 20)
        self.assertEqual(self.passed('b', 5), 5)
        self.clock += 1.0
        self.assertEqual(self.passed('a', 100), 10)
        self.assertEqual(self.limiter.dropped, {'a': 170})

    def test_dropped_lines_are_reported(self):
        stream = io.StringIO()
        lines = log_output.LogOutput(stream, self.limiter)
        self.passed('a', 25)
        lines.write('event=b\n')
        self.clock += 2.0
        lines.write('event=c\n')
        self.assertEqual(
            stream.getvalue().splitlines(),
            [
                'event=b',
                'event=c',
                'level=warning event=lines_dropped of=a count=5',
            ],
        )


if __name__ == '__main__':
    unittest.main()
