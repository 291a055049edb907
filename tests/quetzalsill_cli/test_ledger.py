"""Tests of `quetzalsill explain --ledger`."""

from __future__ import annotations

import collections
import pathlib
import tempfile
import unittest

from click import testing

from quetzalsill_cli import ledger
from quetzalsill_cli.commands import explain
from quetzalsill_gateway import event
from tests.quetzalsill_cli import test_explain

line = test_explain.line


def ended(request, outcome='served', **changes):
    """Returns the end of a generation that is in time unless changed."""
    fields = {
        'route': 'plan',
        'kind': 'stream',
        'service': 's',
        'sends': 1,
        'took_ms': 900.0,
        'first_ms': 300.0,
        'widest_gap_ms': 40.0,
        'configuration': 7,
        'membership': 12,
        'objective_ms': 1800.0,
        'most_gap_ms': 180.0,
        'tokens': 4000,
    }
    return event.RequestEnded(request, outcome=outcome, **(fields | changes))


LOG = [
    line(1.0, ended('in-time')),
    line(1.1, ended('held', first_ms=2500.0, held_ms=2000.0)),
    line(1.2, ended('read', first_ms=2500.0, held_ms=100.0)),
    line(1.3, ended('moved', widest_gap_ms=400.0, gap_cause='move')),
    line(1.4, ended('busy', widest_gap_ms=400.0)),
    line(1.5, test_explain.chosen('died')),
    line(
        1.6,
        test_explain.segment_ended('left', 'answer_truncated', leaving=True),
    ),
    line(1.7, ended('left', 'cut')),
    line(1.8, ended('told', 'refused')),
    line(
        1.9,
        event.RequestRefused('unknown', '/', 'unknown_key', 401, 7),
    ),
]


class LedgerTest(unittest.TestCase):
    """Classification of requests, and the table and plot of the results."""

    def causes(self, log=LOG):
        return {
            entry.request: (entry.verdict.value, entry.cause)
            for entry in ledger.build(log).entries
        }

    def test_each_request_has_its_verdict_and_cause(self):
        self.assertEqual(
            self.causes(),
            {
                'in-time': ('in time', ''),
                'held': ('late', 'first event: waited for memory'),
                'read': ('late', 'first event: waited at its engine'),
                'moved': ('late', 'pause: move'),
                'busy': ('late', 'pause: its engine was busy'),
                'died': ('lost', 'its gateway died'),
                'left': ('lost', 'its engine left'),
                'told': ('lost', 'told to come back'),
                'unknown': ('not owed', 'unknown_key'),
            },
        )

    def test_lines_that_cannot_be_read_are_counted(self):
        """One line is truncated and one has a malformed number."""
        cut = LOG[0][: LOG[0].index('event=') + 9].replace('timestamp', 'time')
        malformed = (
            LOG[1]
            .replace('took_ms=900.0', 'took_ms=900.0')
            .replace('first_ms=2500.0', 'first_ms=soon')
        )
        found = ledger.build([cut, 'no log line at all', malformed, *LOG[2:]])
        self.assertEqual(found.unreadable_lines, 2)
        self.assertEqual(len(found.entries), len(self.causes()) - 2)

    def test_every_cut_of_a_log_is_read(self):
        """A log that is truncated at any byte can still be classified."""
        complete = '\n'.join(LOG)
        for end in range(0, len(complete), 7):
            found = ledger.build(complete[:end].splitlines())
            counts = collections.Counter(e.verdict for e in found.entries)
            self.assertLessEqual(counts[ledger.Verdict.IN_TIME], 1)

    def test_a_malformed_wait_does_not_hide_its_request(self):
        """A line that was written by another version, or is truncated."""
        held = event.RequestHeld('in-time', 9.0, 4.0, 3, True, 100.0)
        text = line(1.0, held)
        for broken in (text.replace('=4.0', '=soon'), text.split(' come')[0]):
            found = ledger.build([broken, *LOG])
            self.assertEqual(found.holds, [])
            self.assertEqual(found.unreadable_lines, 1)
            self.assertEqual(len(found.entries), len(self.causes()))

    def run_command(self, *args, log=LOG):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'gateway.log')
            path.write_text('\n'.join(log))
            plot_path = pathlib.Path(folder, 'ledger.png')
            args = [str(plot_path) if arg == 'PNG' else arg for arg in args]
            result = testing.CliRunner().invoke(
                explain.command, [*args, '--log', str(path)]
            )
            drawn = plot_path.exists() and plot_path.stat().st_size
        return result, drawn

    def test_the_error_of_the_expected_wait(self):
        """A burst of one kind: expected waits of 0 went unnoticed."""

        def held(request, waited_ms, expected_ms, *, admitted=True):
            return event.RequestHeld(
                request, waited_ms, expected_ms, 3, admitted, 100.0
            )

        log = [line(1.0, held(f'r-{n}', 100.0 * n, 0.0)) for n in range(1, 11)]
        log += [
            line(2.0, held('told', 5.0, 4000.0, admitted=False)),
            line(2.1, held('late', 5000.0, 0.0, admitted=False)),
            line(2.2, held('sure', 700.0, float('inf'), admitted=False)),
            line(2.3, held('once', 0.2, 3000.0, admitted=False)),
        ]
        result, _ = self.run_command('--ledger', log=log)
        self.assertIn('sent: 10, error of the expected wait', result.output)
        self.assertIn('p50 500 ms, p90 900 ms', result.output)
        self.assertIn('rejected: 4, 50.0 in 100', result.output)
        result, _ = self.run_command('--ledger')
        self.assertNotIn('queued', result.output)

    def test_the_table_shows_counts_and_shares(self):
        result, _ = self.run_command('--ledger')
        self.assertIn('plan: owed 7, in time 1, late 4, lost 2', result.output)
        self.assertIn('late, pause: move', result.output)

    def test_the_picture_is_drawn(self):
        result, drawn = self.run_command('--ledger', '--plot', 'PNG')
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertGreater(drawn, 1000)

    def test_a_log_without_requests_is_an_error_with_advice(self):
        result, _ = self.run_command('--ledger', log=['nothing'])
        self.assertIn('name no request', result.output)

    def test_plot_alone_is_refused(self):
        result, _ = self.run_command('--failed', '--plot', 'x.png')
        self.assertIn('--plot', result.output)


if __name__ == '__main__':
    unittest.main()
