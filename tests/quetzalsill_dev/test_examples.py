"""Tests that the files of docs/example are valid and match README."""

from __future__ import annotations

import pathlib
import unittest

from quetzalsill.config import model, reference
from quetzalsill.schema import load
from quetzalsill_router import settings as router_settings
from quetzalsill_sidecar import settings as sidecar_settings

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLES = ROOT / 'docs' / 'example'


class ExamplesTest(unittest.TestCase):
    """Settings, configuration and client that README tells readers to use."""

    def test_settings_and_configuration_pass(self):
        load.load_file(router_settings.RouterSettings, EXAMPLES / 'router.json')
        load.load_file(
            sidecar_settings.SidecarSettings, EXAMPLES / 'sidecar.json'
        )
        cfg = load.load_file(
            model.Configuration, EXAMPLES / 'configuration.json'
        )
        reference.check_references(cfg)

    def test_readme_shows_the_example_client(self):
        readme = (ROOT / 'README.md').read_text()
        code = (EXAMPLES / 'client.py').read_text()
        client_code = code.partition('import openai')[2].removesuffix(
            'print()\n'
        )
        self.assertIn(client_code, readme)


if __name__ == '__main__':
    unittest.main()
