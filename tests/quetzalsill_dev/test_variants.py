"""Tests of the site file variants."""

from __future__ import annotations

import unittest

from quetzalsill_dev import variants

SITE = """name = "site"
services = [{ llm = { batch = 24, step_ms = 7.0, kv_tokens = 34000, \
kv_bytes = 1000.0, link_mbps = 2700.0 } }]
machines = [{ link_mbps = 1000.0 }]
[[day]]
name = "quiet-1"
plan = [
  { at = 1.5, kind = "scale_in", how = "spot", x = 2.0 },
  { at = 2.5, kind = "release", x = 1.0 },
]
"""


class VariantsTest(unittest.TestCase):
    """A variant changes only what its name says."""

    def test_only_links_of_engines_change(self):
        text = variants.make_variant(SITE, 'links-half')
        self.assertIn('link_mbps = 1350.0', text)
        self.assertIn('link_mbps = 1000.0', text)
        self.assertIn('name = "site-links-half"', text)
        self.assertIn('name = "quiet-1"', text)

    def test_only_notices_change(self):
        text = variants.make_variant(SITE, 'notices-shorter')
        self.assertIn('how = "spot", x = 1.6', text)
        self.assertIn('kind = "release", x = 1.0', text)

    def test_every_variant_changes_something(self):
        for name in variants.VARIANTS:
            with self.subTest(name):
                self.assertNotEqual(variants.make_variant(SITE, name), SITE)

    def test_a_site_without_engines_is_an_error(self):
        with self.assertRaises(ValueError):
            variants.make_variant('name = "site"', 'batch-half')


if __name__ == '__main__':
    unittest.main()
