"""Non-blocking, rate-limited output of log lines.

A process logs from its event loop. If the reader of its output stops, the pipe
fills within seconds, and a blocking write would then stall every request of the
process until the reader resumes. A burst of failures, each with its log line,
could also fill the disk behind that pipe. Lines that would block or exceed the
rate limit are dropped and counted, and the count is written as soon as a line
can be written again.
"""

from __future__ import annotations

import io
import os
import select
import time
from typing import Any

import structlog

__all__ = ['RateLimiter', 'LogOutput']

# A pipe that polls as writable has room for this many bytes (PIPE_BUF), so a
# write of at most this length does not block.
MAX_LINE_BYTES = 4096
# Limits per event: sustained lines per second, and lines in a burst. A node of
# the design size serves 35 requests per second with about four lines each.
LINES_PER_S = 150.0
BURST_LINES = 450.0
REPORT_INTERVAL_S = 1.0
DROPPED_LINE = 'level=warning event=lines_dropped of={} count={}\n'
UNREAD_LINE = 'level=warning event=lines_unread count={}\n'
DROPPED_LINE = 'level=warning event=lines_dropped of={} count={}\n'
UNREAD_LINE = 'level=warning event=lines_unread count={}\n'

EventDict = dict[str, Any]


class RateLimiter:
    """Limits the rate of the lines of each event."""

    def __init__(
        self, per_s: float = LINES_PER_S, burst: float = BURST_LINES
    ) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens: dict[str, tuple[float, float]] = {}
        self.dropped: dict[str, int] = {}

    def __call__(
        self, _logger: Any, _method: str, line: EventDict
    ) -> EventDict:
        """Passes a line on, as a structlog processor.

        Raises:
          structlog.DropEvent: The rate limit of its event is exceeded.
        """
        event = str(line.get('event'))
        now = time.monotonic()
        tokens, updated_s = self._tokens.get(event, (self._burst, now))
        tokens = min(self._burst, tokens + (now - updated_s) * self._per_s)
        if tokens < 1.0:
            self._tokens[event] = (tokens, now)
            self.dropped[event] = self.dropped.get(event, 0) + 1
            raise structlog.DropEvent
        self._tokens[event] = (tokens - 1.0, now)
        return line

    def take_dropped(self) -> dict[str, int]:
        """Returns the count of lines dropped since the last call, by event."""
        dropped, self.dropped = self.dropped, {}
        return dropped


class LogOutput:
    """Writes lines to a stream without blocking.

    Attributes:
      unread: Lines dropped because the reader did not read, since the last
        line that was written.
    """

    def __init__(self, stream: Any, limiter: RateLimiter) -> None:
        self._stream = stream
        self._limiter = limiter
        self._reported_s = time.monotonic()
        self._poll: select.poll | None = None
        self._fd = -1
        self.unread = 0
        try:
            self._fd = stream.fileno()
        except (AttributeError, io.UnsupportedOperation):
            # An in-memory stream, as used by tests, never blocks.
            return
        self._poll = select.poll()
        self._poll.register(self._fd, select.POLLOUT)

    def write(self, text: str) -> None:
        """Writes a line, or drops it if that would block."""
        if not self._is_writable():
            self.unread += 1
            return
        if self.unread:
            report = UNREAD_LINE.format(self.unread)
            self.unread = 0
            self._write(report)
            self.write(text)
            return
        self._write(text)
        self._report_dropped()

    def flush(self) -> None:
        """Does nothing, as each line is written at once."""

    def _report_dropped(self) -> None:
        now = time.monotonic()
        if (
            now - self._reported_s < REPORT_INTERVAL_S
            or not self._limiter.dropped
        ):
            return
        self._reported_s = now
        for event, count in self._limiter.take_dropped().items():
            if self._is_writable():
                self._write(DROPPED_LINE.format(event, count))

    def _is_writable(self) -> bool:
        if self._poll is None:
            return True
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))

    def _write(self, text: str) -> None:
        if self._poll is None:
            self._stream.write(text)
            return
        data = text.encode(errors='backslashreplace')
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1] + b'\n'
        try:
            os.write(self._fd, data)
        except OSError:
            # The reader has closed the pipe, so the error cannot be reported.
            self.unread += 1
