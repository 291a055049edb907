"""Tests of the command line of `quetzalsilld`."""

from __future__ import annotations

import dataclasses
import pathlib
import tempfile
import unittest
from unittest import mock

import structlog
from click import testing

from quetzalsill.daemon import command, exit_code
from quetzalsill.net import error
from quetzalsill.plugin import registry, role
from quetzalsill.settings import section
from quetzalsill.telemetry import log

Code = exit_code.ExitCode


@dataclasses.dataclass(slots=True)
class _Settings:
    """Settings of a minimal role."""

    node: section.Node = section.key('Identity.')
    telemetry: section.Telemetry = section.key(
        'Telemetry.', factory=section.Telemetry
    )
    size: int = section.key('Size.', 1, minimum=1)


class CommandTest(unittest.TestCase):
    """Settings are validated completely before anything starts."""

    def setUp(self):
        self.run_role = mock.AsyncMock()
        plugins = registry.Registry()
        plugins.add(
            'role', 'small', role.Role('small', _Settings, self.run_role), ''
        )
        plugins.load = lambda: None
        for target, name, value in (
            (registry, 'REGISTRY', plugins),
            (log, 'configure', mock.Mock()),
        ):
            patch = mock.patch.object(target, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 's.json'

    def invoke(self, *arguments):
        with structlog.testing.capture_logs() as self.logs:
            return testing.CliRunner().invoke(command.cli, arguments)

    def test_example_passes_the_check_and_runs(self):
        self.path.write_text(self.invoke('example-settings', 'small').stdout)
        result = self.invoke('check', '--settings', str(self.path))
        self.assertEqual(result.exit_code, Code.OK)
        self.assertIn('fits the role small', result.stdout)
        result = self.invoke('small', '--settings', str(self.path))
        self.assertEqual(result.exit_code, Code.OK, result.output)
        self.run_role.assert_awaited_once()

    def test_each_error_is_one_line_and_nothing_starts(self):
        self.path.write_text('{"size": 0, "nod": {}, /* twice */ "node": 3}')
        for arguments in (
            ('small', '--settings', str(self.path)),
            ('check', '--settings', str(self.path)),
            ('check', '--role', 'small', '--settings', str(self.path)),
        ):
            result = self.invoke(*arguments)
            self.assertEqual(result.exit_code, Code.INVALID_SETTINGS)
            self.assertEqual(len(result.stderr.splitlines()), 3)
        self.run_role.assert_not_called()

    def test_exit_codes_distinguish_failures(self):
        self.path.write_text(self.invoke('example-settings', 'small').stdout)
        port_in_use = error.ListenError('port taken')
        for failure, code in (
            (port_in_use, Code.CANNOT_START),
            (ExceptionGroup('tasks', [port_in_use]), Code.CANNOT_START),
            (ZeroDivisionError(), Code.INTERNAL),
        ):
            self.run_role.side_effect = failure
            result = self.invoke('small', '--settings', str(self.path))
            self.assertEqual(result.exit_code, code, result.output)
            self.assertEqual(self.logs[-1]['event'], 'process_failed')

    def test_wrong_usage(self):
        for arguments in (
            ('large', '--settings', 'x'),
            ('check', '--role', 'large', '--settings', 'x'),
            ('small',),
        ):
            result = self.invoke(*arguments)
            self.assertEqual(result.exit_code, Code.USAGE, result.output)
