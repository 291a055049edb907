"""Exporter that writes finished spans to a file as JSON lines."""

from __future__ import annotations

import json
import threading
from typing import TYPE_CHECKING, Any

from opentelemetry import trace as otel_trace
from opentelemetry.sdk.trace import export

if TYPE_CHECKING:
    from collections.abc import Sequence

    from opentelemetry.sdk import trace as sdk_trace

__all__ = ['MAX_FILE_BYTES', 'JsonLinesExporter']

MAX_FILE_BYTES = 256 * 1024 * 1024
NS_PER_MS = 1_000_000


class JsonLinesExporter(export.SpanExporter):
    """Appends spans to a file of at most `max_bytes`.

    The batch processor calls it from its own thread, so that a slow disk
    does not block the event loop.
    """

    def __init__(
        self, path: str, node: str, max_bytes: int = MAX_FILE_BYTES
    ) -> None:
        self._file = open(path, 'a', encoding='utf-8')  # noqa: SIM115
        self._node = node
        self._bytes_left = max_bytes - self._file.tell()
        self._lock = threading.Lock()

    def export(
        self, spans: Sequence[sdk_trace.ReadableSpan]
    ) -> export.SpanExportResult:
        """Writes spans, or drops them if the file is full or closed."""
        text = ''.join(self._line(span) for span in spans)
        with self._lock:
            if self._file.closed or len(text) > self._bytes_left:
                return export.SpanExportResult.FAILURE
            self._bytes_left -= len(text)
            self._file.write(text)
            self._file.flush()
        return export.SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Closes the file."""
        with self._lock:
            self._file.close()

    def _line(self, span: sdk_trace.ReadableSpan) -> str:
        return json.dumps(self._to_dict(span)) + '\n'

    def _to_dict(self, span: sdk_trace.ReadableSpan) -> dict[str, Any]:
        context = span.get_span_context()
        parent = span.parent.span_id if span.parent else 0
        start_ns = span.start_time or 0
        end_ns = span.end_time or start_ns
        return {
            'trace': otel_trace.format_trace_id(context.trace_id),
            'span': otel_trace.format_span_id(context.span_id),
            'parent': otel_trace.format_span_id(parent) if parent else '',
            'name': span.name,
            'node': self._node,
            'start_ms': start_ns / NS_PER_MS,
            'duration_ms': (end_ns - start_ns) / NS_PER_MS,
            'status': span.status.status_code.name.lower(),
            'attributes': dict(span.attributes or {}),
        }
