"""Decoding of valid and invalid platform data."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import io
import json
import pathlib
import re
import tempfile
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from quetzalsill_platform import (
    adapter,
    configuration,
    engine,
    headers,
    membership,
    polling,
    rows,
)

from quetzalsill.daemon import command, exit_code
from quetzalsill.plugin import registry as plugin_registry
from quetzalsill.schema import load
from quetzalsill_gateway import error, event, plugin, routing_table
from quetzalsill_gateway import settings as settings_lib
from quetzalsill_gateway.fleet import revision
from quetzalsill_gateway.fleet import upstream as upstream_lib
from quetzalsill_gateway.http import error as http_error
from tests.quetzalsill_platform import fixture

TEMPLATE = pathlib.Path(__file__).parents[2] / 'platform' / 'gateway.json'
# Values that the platform substitutes, by placeholder.
VALUES = {
    'zones|json': '{"hall-1": "metro", "hall-2": "metro"}',
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
    'bounds.configApplyMs|json': '2000',
    'bounds.drainMs|json': '3000',
}

ENTRY = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'zone-a',
    'version': 'v1',
    'slots': 24,
    'state': 'ready',
    'warmupLeftMs': 0,
    'sequence': 4,
    'born': 1_760_000_000_000,
}

DOCUMENTS = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.floats(),
        st.text(max_size=8),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(
            st.one_of(st.sampled_from(sorted(ENTRY)), st.text(max_size=4)),
            inner,
            max_size=9,
        ),
    ),
    max_leaves=12,
)


def encode_document(document):
    return json.dumps(document).encode()


def fill_template(**changed):
    """Returns the settings file as the platform renders it."""
    values = VALUES | changed
    text = re.sub(
        r'\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}',
        lambda m: m.group(2) if f'{m.group(1)}|json' in values else '',
        TEMPLATE.read_text(),
        flags=re.DOTALL,
    )
    return re.sub(r'\{\{([^}]+)\}\}', lambda m: values[m.group(1)], text)


class SettingsTest(unittest.TestCase):
    """The settings file that the platform renders."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / 'gateway.json'

    def test_the_template_fits(self):
        self.path.write_text(fill_template())
        cfg = load.load_file(settings_lib.Settings, str(self.path))
        self.assertEqual(settings_lib.address(cfg.store), ('10.200.1.7', 8742))
        self.assertEqual(cfg.peers, '10.1.0.19:7200')
        self.assertEqual(cfg.retry.allowance, 58)
        self.assertEqual(cfg.watch.configuration_ms, 2000)
        self.assertEqual(cfg.watch.leaving_ms, 3000)
        self.assertEqual(cfg.regions, {'hall-1': 'metro', 'hall-2': 'metro'})
        self.assertEqual(cfg.warmup, settings_lib.Warmup())

    def test_warmup_bounds_are_read_if_present(self):
        bounds = {
            'bounds.warmupOverage|json': '1.5',
            'bounds.warmupAllowance|json': '5',
        }
        self.path.write_text(fill_template(**bounds))
        cfg = load.load_file(settings_lib.Settings, str(self.path))
        self.assertEqual(cfg.warmup, settings_lib.Warmup(1.5, 5))

    def test_an_invalid_setting_is_named_in_the_error(self):
        """An invalid field is named in the error, and nothing starts."""
        registry = plugin_registry.Registry()
        plugin.register(registry)
        for field, value, keyword in (
            ('platform.address|json', '"nowhere"', 'store'),
            ('bounds.graceS|json', '"long"', 'grace_s'),
            ('bounds.retryBudgetRatio|json', '7', 'ratio'),
            ('nodeName|json', 'null', 'name'),
        ):
            with self.subTest(field), contextlib.ExitStack() as stack:
                self.path.write_text(fill_template(**{field: value}))
                stack.enter_context(
                    mock.patch.object(plugin_registry, 'REGISTRY', registry)
                )
                stack.enter_context(mock.patch.object(registry, 'load'))
                stderr = stack.enter_context(
                    contextlib.redirect_stderr(io.StringIO())
                )
                raised = stack.enter_context(self.assertRaises(SystemExit))
                command.cli(['gateway', '--settings', str(self.path)])
            self.assertEqual(
                raised.exception.code, exit_code.ExitCode.INVALID_SETTINGS
            )
            self.assertIn(keyword, stderr.getvalue())

    def test_the_adapter_registers_itself(self):
        registry = plugin_registry.Registry()
        adapter.register(registry)
        self.assertEqual(registry.names('deployment'), ['platform'])


class ConfigurationTest(unittest.TestCase):
    """The operators' configuration document."""

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

    def test_an_invalid_document_is_a_configuration_error(self):
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
    """Server entries, engine reports and request headers."""

    def test_entries(self):
        found = membership.decode('i-1', ENTRY | {'state': 'draining'})
        self.assertEqual(found.address, ('10.0.0.1', 80))
        self.assertTrue(found.leaving)
        self.assertEqual(found.incarnation, 1_760_000_000_000)
        without_incarnation = {
            name: ENTRY[name] for name in ENTRY if name != 'born'
        }
        self.assertEqual(
            membership.decode('i-1', without_incarnation).incarnation, 0
        )

    def test_invalid_entries_are_rejected(self):
        """Another writer stores an entry under a server's id.

        If it were used as a server, it would get requests for a service that it
        does not provide, or lose those that the server could have served.
        """
        invalid_entries = [
            {},
            7,
            None,
            [],
            'text',
            (),
            {'service': 's', 'address': 7},
        ]
        invalid_entries += [
            {name: value for name, value in ENTRY.items() if name != missing}
            for missing in ('service', 'address', 'zone', 'slots', 'state')
        ]
        invalid_entries += [
            ENTRY | {name: value}
            for name, values in (
                ('service', ('', 7, None, True)),
                ('address', ('', '10.0.0.1', '10.0.0.1:0', 'host:80', 80)),
                ('zone', ('', None, 3)),
                ('slots', (0, -1, True, '24', 2.5, None)),
                ('state', ('gone', 'Ready', '', None, True)),
                ('born', (0, -5, True, '17', 1.5, None)),
            )
            for value in values
        ]
        for raw in invalid_entries:
            with self.subTest(raw), self.assertRaises(error.SourceError):
                membership.decode('i-1', raw)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.one_of(st.binary(max_size=60), DOCUMENTS.map(encode_document)))
    def test_arbitrary_bytes_raise_no_exception(self, data):
        existing = upstream_lib.Upstream(
            'good', 's', ('10.0.0.9', 80), 'zone-a'
        )
        found = asyncio.run(self.upstreams_after(data, existing))
        self.assertEqual(found.get('good'), existing)
        self.assertFalse(existing.leaving)

    async def upstreams_after(self, data, existing):
        """Returns the upstreams after a response with a row of these bytes."""
        upstreams = upstream_lib.Upstreams()
        upstreams.put(existing, revision.Revision(0, 1))
        text = base64.b64encode(data).decode()
        raw = {'key': 'i-1', 'ver': 2, 'value': text}
        changes = rows.decode(0, {'rows': [raw], 'ver': 2})
        with mock.patch.object(event, 'note'):
            for change in polling.membership_changes(changes):
                upstreams.apply(change)
        return upstreams

    def test_impossible_values_in_a_report_are_bounded(self):
        raw = {'queued': -1, 'active': 2, 'kvUsed': 99, 'kvTotal': 4}
        report = engine.decode_report(raw | {'leaves_ms': -3})
        self.assertEqual((report.queued, report.used_tokens), (0, 4))
        self.assertEqual(report.leaving_in_s, 0.0)
        late = engine.decode_report(raw | {'leaves_ms': 1e300})
        self.assertEqual(late.leaving_in_s, engine.MAX_LEAVING_IN_S)
        for figure in (float('inf'), float('nan'), 'x', None):
            with self.assertRaises(http_error.MalformedResponseError):
                engine.decode_report(raw | {'queued': figure})

    def test_reports(self):
        raw = {'queued': 1, 'active': 2, 'kvUsed': 3, 'kvTotal': 4}
        draining = {'state': 'draining', 'leaves_ms': 1500}
        report = engine.decode_report(
            raw | draining | {'runs': [['a', 10, 2, 5]]}
        )
        self.assertEqual((report.leaving, report.leaving_in_s), (True, 1.5))
        self.assertEqual(report.runs[0].request_id, 'a')
        self.assertIsNone(engine.decode_report(raw).leaving_in_s)
        for broken in ({}, [], 7, raw | {'runs': [['a']]}):
            with (
                self.subTest(broken),
                self.assertRaises(http_error.MalformedResponseError),
            ):
                engine.decode_report(broken)

    def test_prompts(self):
        parse = headers.DIALECT.parse_prompt
        prompt = parse(
            [
                (b'x-quetzalsill-token-usage', b'1460, 80'),
                (b'x-quetzalsill-length-hint', b'33'),
            ]
        )
        self.assertEqual((prompt.input_tokens, prompt.output_limit), (1460, 80))
        self.assertEqual(prompt.output_hint, 33)
        nonsense = parse([(b'x-quetzalsill-token-usage', b'a,-3,,')])
        self.assertEqual(nonsense.input_tokens, 0)

    def test_shared_parts_of_prompts(self):
        """The last part is no shared one, and callers send what they like."""
        name = b'x-quetzalsill-prompt-prefix'
        for values, expected in (
            ((), ()),
            ((b'',), ()),
            ((b'5c1e07a2:800',), ()),
            ((b'5c1e07a2:800,91bd3f06:410,e4402b7d:250',), 'ab'),
            ((b'5C1E07A2:800 , 91bd3f06 :410,e4402b7d:250',), 'ab'),
            ((b'5c1e07a2:800', b'91bd3f06:410,e4402b7d:250'), 'ab'),
            ((b'5c1e07a2,91bd3f06:many,e4402b7d',), 'ab'),
            ((b',,5c1e07a2:800,,91bd3f06:410,:3,e4402b7d:250,',), 'ab'),
            ((b'5c1e07a2:1,91bd3f06:1,5c1e07a2:1,e4402b7d:1',), 'ab'),
            ((b'5c1e07a2:1,91bd3f06:1,5c1e07a2:1',), 'ab'),
        ):
            with self.subTest(values):
                parts = headers.DIALECT.read_shared_parts(
                    [(name, value) for value in values]
                )
                known = {'a': b'5c1e07a2', 'b': b'91bd3f06'}
                self.assertEqual(parts, tuple(known[one] for one in expected))
        many = b','.join(b'%x:1' % n for n in range(1500))
        parts = headers.DIALECT.read_shared_parts([(name, many)])
        self.assertEqual(len(parts), 1499)

    def test_the_template_is_json_with_comments(self):
        text = ''.join(
            line
            for line in fill_template().splitlines(keepends=True)
            if not line.lstrip().startswith('//')
        )
        self.assertEqual(json.loads(text)['deployment'], 'platform')


if __name__ == '__main__':
    unittest.main()
