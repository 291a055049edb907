"""Tests of `quetzalsill.plugin.registry`."""

from __future__ import annotations

import importlib.metadata
import subprocess
import sys
import types
import unittest
from unittest import mock

from quetzalsill.plugin import error, registry

ROLES = ('gateway', 'router', 'sidecar')
LOAD_SCRIPT = """
import sys
from quetzalsill.plugin import registry
registry.REGISTRY.load()
print(*registry.REGISTRY.names('role'))
print(*[name for name in sys.modules if name.endswith('.run')])
"""


def make_entry_point(module):
    entry_point = mock.create_autospec(
        importlib.metadata.EntryPoint, instance=True
    )
    entry_point.load.return_value = module
    entry_point.name, entry_point.value = 'fake', 'fake.plugin'
    return entry_point


class RegistryTest(unittest.TestCase):
    """Plug-ins are registered once, by kind and name."""

    def setUp(self):
        self.registry = registry.Registry()

    def test_finds_what_was_added(self):
        self.registry.add('routing', 'b', 2, 'Second.')
        self.registry.add('routing', 'a', 1, 'First.')
        self.assertEqual(self.registry.names('routing'), ['a', 'b'])
        self.assertEqual(self.registry.get('routing', 'a'), 1)
        self.assertEqual(self.registry.plugins('routing')[1].doc, 'Second.')

    def test_error_lists_the_known_names(self):
        self.registry.add('routing', 'rotate', 1, '')
        with self.assertRaisesRegex(error.UnknownPluginError, 'rotate'):
            self.registry.get('routing', 'rotat')
        with self.assertRaises(error.UnknownPluginError):
            self.registry.add('rooting', 'rotate', 1, '')

    def test_rejects_a_duplicate_name(self):
        self.registry.add('routing', 'a', 1, '')
        with self.assertRaises(error.DuplicatePluginError):
            self.registry.add('routing', 'a', 2, '')

    def load(self, module):
        with mock.patch.object(
            importlib.metadata,
            'entry_points',
            return_value=[make_entry_point(module)],
        ):
            self.registry.load()

    def test_loads_installed_modules_once(self):
        module = types.SimpleNamespace(register=mock.Mock())
        self.load(module)
        self.load(module)
        module.register.assert_called_once_with(self.registry)

    def test_a_role_that_does_not_run_is_not_loaded(self):
        """Guards against slow restarts that import the code of every role."""
        output = subprocess.run(
            [sys.executable, '-c', LOAD_SCRIPT], check=True, capture_output=True
        ).stdout
        self.assertEqual(output.decode().splitlines(), [' '.join(ROLES), ''])

    def test_names_a_module_that_does_not_register(self):
        with self.assertRaisesRegex(error.PluginLoadError, 'fake.plugin'):
            self.load(types.SimpleNamespace())
