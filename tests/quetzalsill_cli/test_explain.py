"""Tests of `quetzalsill explain`."""

from __future__ import annotations

import dataclasses
import pathlib
import tempfile
import unittest

from click import testing

from quetzalsill_cli import ledger, request_log
from quetzalsill_cli.commands import explain
from quetzalsill_gateway import event

START = 'timestamp=2026-12-02T10:00:{:09.6f}Z level=info'


def line(at_s, event_value, node='entry-1'):
    """Formats an event as a log line."""
    fields = dataclasses.asdict(event_value)
    shown = ' '.join(
        f'{name}="{value}"' if ' ' in str(value) else f'{name}={value}'
        for name, value in fields.items()
    )
    name = event.name_of(type(event_value))
    return f'{START.format(at_s)} event={name} node={node} role=gateway {shown}'


def chosen(request, upstream='u-1'):
    return event.UpstreamChosen(
        request,
        'r',
        upstream,
        3,
        1,
        20.0,
        4,
        9000,
        500,
        4000,
        late_probability=0.0,
        pace_miss=False,
        failures=0.0,
        configuration_age_ms=100,
        membership_age_ms=200,
    )


def ended(request, outcome, gap=None):
    return event.RequestEnded(
        request, 'r', 'stream', 's', outcome, 1, 900.0, 300.0, gap, 7, 12
    )


def segment_ended(request, result, *, leaving, upstream='u-1'):
    return event.LegEnded(request, upstream, leaving, False, result, 9, '', '')


LOG_LINES = [
    line(1.0, chosen('r-1')),
    line(1.1, chosen('r-2', 'u-2')),
    line(1.2, event.UpstreamLeaving('u-1', 'membership', 13)),
    line(1.2, event.UpstreamLeaving('u-2', 'membership', 13)),
    line(1.2, event.UpstreamLeaving('u-1', 'membership', 13), 'entry-2'),
    line(
        1.6,
        event.RunOrdered(
            'r-1',
            'u-1',
            'u-3',
            True,
            False,
            False,
            9,
            9,
            'answer_truncated',
            120.0,
        ),
    ),
    line(1.8, segment_ended('r-1', 'answer_truncated', leaving=True)),
    line(1.85, ended('r-1', 'cut')),
    line(2.0, ended('r-2', 'served', 250.0)),
    'a line of another program',
]


class RequestLogTest(unittest.TestCase):
    """Selection of a request's lines and explanation of its outcome."""

    def test_its_lines_and_what_its_gateway_learned(self):
        lines = request_log.read('12.3 entry-1 ' + text for text in LOG_LINES)
        found = request_log.select(lines, 'r-1')
        self.assertEqual(
            [part.event for part in found],
            [
                'upstream_chosen',
                'upstream_leaving',
                'run_ordered',
                'leg_ended',
                'request_ended',
            ],
        )
        self.assertEqual({part.node for part in found}, {'entry-1'})
        self.assertIn(
            'could not be moved in time', request_log.explain_outcome(found)
        )

    def test_a_pause_is_reported(self):
        found = request_log.select(request_log.read(LOG_LINES), 'r-2')
        self.assertIn('a pause of 250.0 ms', request_log.explain_outcome(found))

    def test_an_upstream_without_notice(self):
        lines = [
            line(1, chosen('r-1')),
            line(2, event.StoreLost('servers', 'rows: 503')),
            line(3, segment_ended('r-1', 'answer_truncated', leaving=False)),
            line(3, ended('r-1', 'cut')),
        ]
        cause = request_log.explain_outcome(
            request_log.select(request_log.read(lines), 'r-1')
        )
        self.assertIn('broke off without a notice', cause)

    def test_a_stream_that_was_not_taken_up(self):
        """The logs don't show which version began a refused stream."""
        for reason, version, expected in (
            ('unknown_origin', '', 'no gateway knows at which version'),
            ('no_upstream_of_version', 'v1', 'began at version v1'),
        ):
            refused = event.StreamNotResumed(
                'r-2', 'r-1', 's', reason, version, 'v1,v2'
            )
            lines = [line(1, refused), line(1, ended('r-2', 'refused'))]
            found = request_log.select(request_log.read(lines), 'r-2')
            self.assertIn(expected, request_log.explain_outcome(found))
            [entry] = ledger.build(lines).entries
            self.assertIn('taken up', entry.cause)

    def test_every_reason_and_outcome_has_a_cause(self):
        """Guards against a new outcome without an explanation."""
        reasons = _documented_values(event.RequestRefused, 'reason')
        self.assertEqual(set(request_log._REFUSAL_SENTENCES), reasons)
        outcomes = _documented_values(event.RequestEnded, 'outcome')
        known = {*request_log._OUTCOME_SENTENCES, 'served', 'failed', 'cut'}
        self.assertEqual(known, outcomes)

    def test_an_end_that_was_not_logged(self):
        found = request_log.select(
            request_log.read([line(1, chosen('r-9'))]), 'r-9'
        )
        self.assertIn('was not logged', request_log.explain_outcome(found))

    def test_a_gateway_that_died_with_it_is_named(self):
        """The log has no end of the request, but a restart of its gateway."""
        start = f'{START.format(4)} event=process_started node=entry-1'
        other = f'{START.format(3)} event=process_started node=entry-2'
        lines = [line(1, chosen('r-9')), other, start]
        cause = request_log.explain_outcome(
            request_log.select(request_log.read(lines), 'r-9')
        )
        self.assertIn('entry-1 died with it', cause)
        self.assertIn('10:00:04', cause)

    def test_a_request_that_no_engine_had_room_for(self):
        held = event.RequestHeld(
            'r-9', 812.5, 2300.0, 3, admitted=False, come_back_ms=4000.0
        )
        lines = [line(1, held), line(1, ended('r-9', 'refused'))]
        cause = request_log.explain_outcome(
            request_log.select(request_log.read(lines), 'r-9')
        )
        self.assertIn('held for 812.5 ms', cause)


class CommandTest(unittest.TestCase):
    """The command with its arguments and output."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'entry-1.log'
        self.path.write_text('\n'.join(LOG_LINES))

    def run_with(self, *arguments, **options):
        return testing.CliRunner().invoke(
            explain.command, list(arguments), **options
        )

    def test_one_request_from_files_or_standard_input(self):
        by_file = self.run_with('r-1', '--log', str(self.path))
        by_input = self.run_with('r-1', input=self.path.read_text())
        self.assertEqual(by_file.exit_code, 0, by_file.output)
        self.assertEqual(by_file.output, by_input.output)
        self.assertIn('leg_ended', by_file.output)

    def test_clocks_that_may_differ_are_reported(self):
        lines = [*LOG_LINES, line(1.3, chosen('r-1'), 'entry-2')]
        output = self.run_with('r-1', input='\n'.join(lines)).output
        self.assertIn('Lines of 2 processes', output)

    def test_all_that_failed(self):
        output = self.run_with('--failed', '--log', str(self.path)).output
        self.assertIn('r-1  u-1 left', output)
        self.assertNotIn('r-2', output)

    def test_bad_arguments_are_reported_with_advice(self):
        for arguments in (
            (),
            ('r-1', '--failed'),
            ('r-9', '--log', str(self.path)),
            ('r-1', '--log', '/nowhere/at/all'),
        ):
            with self.subTest(arguments):
                result = self.run_with(*arguments, input='')
                self.assertNotEqual(result.exit_code, 0)
                self.assertGreater(len(result.output.splitlines()), 1)


def _documented_values(cls, field):
    """Returns the values that an event's docstring lists for a field."""
    text = cls.__doc__.partition(f'      {field}: ')[2]
    text = text.partition('\n      sends:')[0].partition('\n      status:')[0]
    return {part for part in text.split('`')[1::2] if part.isidentifier()}


if __name__ == '__main__':
    unittest.main()
