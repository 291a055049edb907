"""Tracing of requests across processes.

The trace id is propagated in W3C `traceparent` form whether or not spans are
recorded, so that log lines of all hops can be correlated. Spans cover hops and
steps of a request, never single tokens.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from opentelemetry import trace as otel_trace
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export, id_generator, sampling
from opentelemetry.trace.propagation import tracecontext

from quetzalsill.telemetry import export as telemetry_export

if TYPE_CHECKING:
    from collections.abc import Iterator

    from opentelemetry import context as otel_context

__all__ = ['setup', 'shutdown', 'span', 'traceparent']

HEADER = 'traceparent'
QUEUE_SPANS = 4096
EXPORT_INTERVAL_MS = 1000

_propagator = tracecontext.TraceContextTextMapPropagator()
_id_generator = id_generator.RandomIdGenerator()
_provider: sdk_trace.TracerProvider | None = None


def setup(node: str, file: str) -> None:
    """Enables recording of spans to a file; an empty name disables it.

    Args:
      node: Name of the node, written with each span.
      file: File to which finished spans are appended as JSON lines. Spans
        that do not fit the queue are dropped.

    Raises:
      OSError: If the file cannot be opened.
    """
    global _provider
    shutdown()
    if not file:
        return
    processor = export.BatchSpanProcessor(
        telemetry_export.JsonLinesExporter(file, node),
        max_queue_size=QUEUE_SPANS,
        schedule_delay_millis=EXPORT_INTERVAL_MS,
    )
    _provider = sdk_trace.TracerProvider(sampler=sampling.ALWAYS_ON)
    _provider.add_span_processor(processor)


def shutdown() -> None:
    """Writes the queued spans and stops recording."""
    global _provider
    if _provider is not None:
        _provider.shutdown()
        _provider = None


@contextlib.contextmanager
def span(
    name: str, parent: str = '', **attributes: str | int | float | bool
) -> Iterator[otel_trace.Span]:
    """Opens a span that is the current one until the block ends.

    Args:
      name: Name of the step, such as `router.dispatch`.
      parent: `traceparent` of the previous hop; empty for the current span.
        A malformed one starts a new trace.
      **attributes: Attributes of the span.

    Yields:
      The span; `set_attribute` adds attributes later.
    """
    context = _propagator.extract({HEADER: parent}) if parent else None
    new_span = _start_span(name, context, attributes)
    with otel_trace.use_span(new_span, end_on_exit=True) as current:
        yield current


def traceparent() -> str:
    """Returns the current span in W3C form, or an empty string."""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier)
    return carrier.get(HEADER, '')


def _start_span(
    name: str,
    context: otel_context.Context | None,
    attributes: dict[str, str | int | float | bool],
) -> otel_trace.Span:
    if _provider is not None:
        tracer = _provider.get_tracer(__name__)
        return tracer.start_span(name, context, attributes=attributes)
    parent = otel_trace.get_current_span(context).get_span_context()
    trace_id = (
        parent.trace_id
        if parent.is_valid
        else _id_generator.generate_trace_id()
    )
    span_context = otel_trace.SpanContext(
        trace_id,
        _id_generator.generate_span_id(),
        is_remote=False,
        trace_flags=otel_trace.TraceFlags(otel_trace.TraceFlags.SAMPLED),
    )
    return otel_trace.NonRecordingSpan(span_context)
