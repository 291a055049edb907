"""Translation of what the platform says, and of what it says wrongly."""

from __future__ import annotations

import contextlib
import io
import json
import pathlib
import re
import tempfile
import unittest
from unittest import mock

from quetzalsill_platform import (
    adapter,
    configuration,
    engine,
    headers,
    membership,
)

from quetzalsill.daemon import command, exit_code
from quetzalsill.plugin import registry as plugin_registry
from quetzalsill.schema import load
from quetzalsill_gateway import error, plugin, routing_table
from quetzalsill_gateway import settings as settings_lib
from quetzalsill_gateway.http import error as http_error
from tests.quetzalsill_platform import fixture

TEMPLATE = pathlib.Path(__file__).parents[2] / 'platform' / 'gateway.json'
# What the platform fills in, by placeholder.
VALUES = {
    'nodeName|json': '"edge-1"',
    'zone|json': '"zone-a"',
    'listen.frontend|json': '"10.1.0.19:8740"',
    'listen.readiness|json': '"10.1.0.19:8749"',
    'platform.address|json': '"10.200.1.7:8742"',
    'ip': '10.1.0.19',
    'internalPorts.0': '7200',
    'bounds.retryBudgetRatio|json': '0.2',
    'bounds.retryAllowance|json': '58',
    'bounds.retryWindowS|json': '10',
    'bounds.graceS|json': '8',
}


def filled(**changed):
    """Returns the settings file as the platform lays it."""
    values = VALUES | changed
    return re.sub(
        r'\{\{([^}]+)\}\}', lambda m: values[m.group(1)], TEMPLATE.read_text()
    )


class SettingsTest(unittest.TestCase):
    """The settings file that the platform fills in."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'gateway.json'

    def test_the_template_fits(self):
        self.path.write_text(filled())
        cfg = load.load_file(settings_lib.Settings, str(self.path))
        self.assertEqual(settings_lib.address(cfg.store), ('10.200.1.7', 8742))
        self.assertEqual(cfg.peers, '10.1.0.19:7200')
        self.assertEqual(cfg.retry.allowance, 58)

    def test_what_does_not_fit_ends_with_its_field_and_mend(self):
        """A field is missing or wrong: one line names it, nothing starts."""
        registry = plugin_registry.Registry()
        plugin.register(registry)
        for field, value, word in (
            ('platform.address|json', '"nowhere"', 'store'),
            ('bounds.graceS|json', '"long"', 'grace_s'),
            ('bounds.retryBudgetRatio|json', '7', 'ratio'),
            ('nodeName|json', 'null', 'name'),
        ):
            with self.subTest(field), contextlib.ExitStack() as stack:
                self.path.write_text(filled(**{field: value}))
                stack.enter_context(
                    mock.patch.object(plugin_registry, 'REGISTRY', registry)
                )
                stack.enter_context(mock.patch.object(registry, 'load'))
                told = stack.enter_context(
                    contextlib.redirect_stderr(io.StringIO())
                )
                ended = stack.enter_context(self.assertRaises(SystemExit))
                command.cli(['gateway', '--settings', str(self.path)])
            self.assertEqual(
                ended.exception.code, exit_code.ExitCode.INVALID_SETTINGS
            )
            self.assertIn(word, told.getvalue())

    def test_the_adapter_registers_itself(self):
        registry = plugin_registry.Registry()
        adapter.register(registry)
        self.assertEqual(registry.names('deployment'), ['platform'])


class ConfigurationTest(unittest.TestCase):
    """The operators' document."""

    def test_routes_services_accounts_and_limits(self):
        split = fixture.route('split', '/s/', 'safe', 'desk')
        del split['service']
        split['backends'] = [
            {'service': 'desk', 'weight': 90},
            {'service': 'writers', 'weight': 10},
        ]
        table = configuration.decode(
            fixture.configuration(
                7, [*fixture.ROUTES, split], maxBodyBytes=99, idleTimeoutMs=500
            )
        )
        route = table.match(b'Shop.Example:80', b'/plan/x')
        self.assertEqual(route.kind, routing_table.Kind.STREAM)
        self.assertEqual((route.attempts, route.timeout_s), (1, 4.0))
        self.assertTrue(
            table.match(b'shop.example', b'/verdict/').kind.may_repeat
        )
        self.assertEqual(
            [
                (t.service, t.weight)
                for t in table.match(b'shop.example', b'/s/').targets
            ],
            [('desk', 90.0), ('writers', 10.0)],
        )
        self.assertEqual(table.accounts[b'key-2'].name, 'first')
        self.assertEqual(table.accounts[b'key-3'].priority, 0)
        self.assertEqual(table.services['writers'].engine.memory_tokens, 30000)
        self.assertIsNone(table.services['desk'].engine)
        self.assertEqual(table.limits.body_bytes, 99)
        self.assertEqual(table.limits.idle_s, 0.5)

    def test_a_document_that_makes_no_sense_is_a_typed_failure(self):
        for broken in (
            {},
            {'version': 1},
            {'version': 'x', 'routes': [], 'services': []},
            {'version': 1, 'routes': 7, 'services': []},
            {'version': 1, 'routes': [{}], 'services': []},
            {'version': 1, 'routes': [None], 'services': []},
            {'version': 1, 'routes': [], 'services': [{}]},
            {'version': 1, 'routes': [], 'services': [], 'tenants': [7]},
        ):
            with (
                self.subTest(broken),
                self.assertRaises(error.ConfigurationError) as caught,
            ):
                configuration.decode(broken)
            self.assertTrue(caught.exception.advice)


class EntryTest(unittest.TestCase):
    """Entries, reports and headers."""

    def test_entries(self):
        raw = {'service': 's', 'address': '10.0.0.1:80', 'state': 'draining'}
        found = membership.decode('i-1', raw)
        self.assertEqual(found.address, ('10.0.0.1', 80))
        self.assertTrue(found.leaving)
        for broken in ({}, {'service': 's', 'address': 7}, 7, None):
            with self.subTest(broken), self.assertRaises(error.SourceError):
                membership.decode('i-1', broken)

    def test_reports(self):
        raw = {'queued': 1, 'active': 2, 'kvUsed': 3, 'kvTotal': 4}
        more = {'state': 'draining', 'leaves_ms': 1500}
        report = engine.decode_report(raw | more | {'runs': [['a', 10, 2, 5]]})
        self.assertEqual((report.leaving, report.leaves_s), (True, 1.5))
        self.assertEqual(report.runs[0].request_id, 'a')
        self.assertIsNone(engine.decode_report(raw).leaves_s)
        for broken in ({}, [], 7, raw | {'runs': [['a']]}):
            with (
                self.subTest(broken),
                self.assertRaises(http_error.MalformedAnswerError),
            ):
                engine.decode_report(broken)

    def test_prompts(self):
        read = headers.DIALECT.prompt
        prompt = read(
            [
                (b'x-quetzalsill-token-usage', b'1460, 80'),
                (b'x-quetzalsill-length-hint', b'33'),
            ]
        )
        self.assertEqual((prompt.input_tokens, prompt.output_limit), (1460, 80))
        self.assertEqual(prompt.output_hint, 33)
        nonsense = read([(b'x-quetzalsill-token-usage', b'a,-3,,')])
        self.assertEqual(nonsense.input_tokens, 0)

    def test_the_template_is_json_with_comments(self):
        text = ''.join(
            line
            for line in filled().splitlines(keepends=True)
            if not line.lstrip().startswith('//')
        )
        self.assertEqual(json.loads(text)['deployment'], 'platform')


if __name__ == '__main__':
    unittest.main()
