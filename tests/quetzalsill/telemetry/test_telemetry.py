"""Tests of log lines, metrics and spans."""

from __future__ import annotations

import contextlib
import io
import json
import logging
import pathlib
import tempfile
import unittest

import structlog
from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill import event as kernel_event
from quetzalsill.telemetry import export, log, metric, trace


class LogTest(unittest.TestCase):
    """One event is one line, whatever its values contain."""

    def setUp(self):
        self.addCleanup(structlog.configure, **structlog.get_config())
        root = logging.getLogger()
        self.addCleanup(setattr, root, 'handlers', root.handlers)
        self.err = io.StringIO()
        with contextlib.redirect_stdout(self.err):
            log.configure('info', 'entry-1', 'router')

    def lines(self):
        return self.err.getvalue().splitlines()

    def test_writes_key_value_lines_with_the_trace(self):
        with trace.span('request'):
            trace_id = trace.traceparent().split('-')[1]
            log.get('m').info('accepted', account='lagos', bytes=3)
        log.get('m').debug('unseen')
        (line,) = self.lines()
        for pair in (
            'level=info event=accepted node=entry-1 role=router',
            f'trace={trace_id}',
            'account=lagos bytes=3',
        ):
            self.assertIn(pair, line)

    def test_values_cannot_forge_lines(self):
        """The log contains forged events.

        A caller sends a header with a line end followed by key=value pairs,
        and the header is logged.
        """
        forged = 'x\r\nlevel=info event=order_accepted\x1b[2J\u2028'
        log.get('m').warning('refused', header=forged, error=ValueError(forged))
        logging.getLogger('library').warning('odd %s', forged)
        try:
            raise ValueError(forged)
        except ValueError:
            log.get('m').exception('failed')
        text = self.err.getvalue()
        self.assertEqual(len(text.splitlines()), 3)
        self.assertTrue(text.replace('\n', '').isprintable())
        self.assertIn('event=library_message', self.lines()[1])


class MetricTest(unittest.TestCase):
    """Metrics are rendered in the Prometheus text format."""

    def test_renders_what_was_counted(self):
        for _ in range(2):
            metric.counter('test_events_total', 'Events.').inc({'kind': 'a'})
        metric.gauge('test_depth', 'Depth.').set({}, 7)
        metric.histogram('test_seconds', 'Time.').observe({}, 0.3)
        text = metric.render().decode()
        self.assertIn('test_events_total{kind="a"} 2', text)
        self.assertIn('test_depth 7', text)
        self.assertIn('test_seconds_bucket{le="0.5"} 1', text)


class TraceTest(unittest.TestCase):
    """The trace id is propagated, and spans are written to the file."""

    def test_trace_id_crosses_hops_without_recording(self):
        with trace.span('router.request'):
            sent = trace.traceparent()
        self.assertEqual(trace.traceparent(), '')
        with trace.span('sidecar.attempt', parent=sent):
            received = trace.traceparent()
        self.assertEqual(sent.split('-')[1], received.split('-')[1])
        self.assertNotEqual(sent.split('-')[2], received.split('-')[2])

    def test_malformed_parent_starts_a_new_trace(self):
        for parent in ('garbage', '00-' + '0' * 32 + '-' + '0' * 16 + '-01'):
            with trace.span('request', parent=parent):
                self.assertRegex(
                    trace.traceparent(), '^00-[0-9a-f]{32}-[0-9a-f]{16}-01$'
                )

    def test_writes_spans_as_json_lines(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'spans'
            trace.setup('entry-1', str(path))
            with (
                trace.span('outer', model='m'),
                self.assertRaises(ValueError),
                trace.span('inner'),
            ):
                raise ValueError
            trace.shutdown()
            inner, outer = map(json.loads, path.read_text().splitlines())
        self.assertEqual(outer['attributes'], {'model': 'm'})
        self.assertEqual(inner['parent'], outer['span'])
        self.assertEqual(inner['status'], 'error')
        self.assertEqual(inner['trace'], outer['trace'])

    def test_file_is_bounded(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'spans'
            path.write_text('x' * 10)
            exporter = export.JsonLinesExporter(str(path), 'n', 10)
            self.addCleanup(exporter.shutdown)
            span = trace.sdk_trace.TracerProvider().get_tracer('t')
            with span.start_as_current_span('s') as recorded:
                pass
            exporter.export([recorded])
            self.assertEqual(path.stat().st_size, 10)


class RenderTest(unittest.TestCase):
    """Rendered lines are identical to those of structlog's renderer."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.dictionaries(
            st.sampled_from([*log.KEY_ORDER, 'reason', 'upstream', 'sends']),
            st.none()
            | st.booleans()
            | st.integers()
            | st.floats()
            | st.text(st.characters(exclude_categories=('C', 'Z')), max_size=9)
            | st.text(' ="\\ab', max_size=9),
        )
    )
    def test_a_line_is_that_of_the_library(self, event):
        library = structlog.processors.LogfmtRenderer(
            key_order=log.KEY_ORDER, drop_missing=True, bool_as_flag=False
        )
        theirs = library(None, 'info', dict(event))
        self.assertEqual(log.render(None, 'info', dict(event)), theirs)


class EventTest(unittest.TestCase):
    """An event is logged at the level that its class declares."""

    def test_faults_are_logged_as_errors(self):
        """Monitoring of error lines misses faults logged at a lower level."""
        levels = {
            cls.LEVEL
            for cls in (kernel_event.ProcessFailed, kernel_event.LinkTaskFailed)
        }
        self.assertEqual(levels, {'error'})
        self.assertEqual(kernel_event.ConnectionCut.LEVEL, 'warning')
        self.assertEqual(kernel_event.ProcessStarted.LEVEL, 'info')
