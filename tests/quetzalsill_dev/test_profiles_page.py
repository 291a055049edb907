"""Tests that docs/PROFILES.md agrees with the configuration model."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import typing
import unittest

from quetzalsill.config import model
from quetzalsill.plugin import registry
from quetzalsill.schema import check, key

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'PROFILES.md'


class ProfilesPageTest(unittest.TestCase):
    """Operators configure profiles from the page, so it must be complete."""

    def test_each_key_with_what_is_allowed_its_default_and_its_doc(self):
        page = PAGE.read_text()
        for cls in (model.Profile, model.Policies):
            hints = typing.get_type_hints(cls)
            for field in dataclasses.fields(cls):
                spec = field.metadata[key.METADATA_KEY]
                allowed = check.describe(hints[field.name], spec)
                default = json.dumps(field.default)
                row = f'| `{field.name}` | {allowed} | `{default}` | {spec.doc}'
                self.assertIn(row, page)

    def test_each_policy_of_the_packages(self):
        plugins = registry.Registry()
        plugins.load()
        page = PAGE.read_text()
        for kind in ('routing', 'admission', 'fairness', 'limits'):
            for name in plugins.names(kind):
                self.assertIn(f'`{name}`:', page)


if __name__ == '__main__':
    unittest.main()
