"""Tests of parsing and generating documents with comments."""

from __future__ import annotations

import dataclasses
import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill.config import model
from quetzalsill.schema import check, error, example, load
from quetzalsill.settings import section


@dataclasses.dataclass(slots=True, kw_only=True)
class _Settings:
    """Settings with all shared sections."""

    node: section.Node = section.key('Identity.')
    listen: section.Listen = section.key('Address.', factory=section.Listen)
    tls: section.Tls = section.key('TLS.', factory=section.Tls)
    platform: section.Platform = section.key('Platform.')
    telemetry: section.Telemetry = section.key(
        'Telemetry.', factory=section.Telemetry
    )
    links: section.LinkTiming = section.key(
        'Links.', factory=section.LinkTiming
    )


class LoadTest(unittest.TestCase):
    """Files with comments are read; errors name the file."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'settings.json'

    def load_error(self, data):
        self.path.write_bytes(data)
        with self.assertRaises(error.InvalidDocumentError) as caught:
            load.load_file(_Settings, str(self.path))
        (line,) = caught.exception.lines()
        self.assertIn(str(self.path), line)
        return line

    def test_example_passes_the_check(self):
        text = example.example(_Settings)
        self.path.write_text(text)
        built = load.load_file(_Settings, str(self.path))
        self.assertEqual(built.node.name, 'entry-1')
        self.assertIn('// number from 0.1 to 300 in s; default 3.0.', text)
        self.assertLessEqual(max(map(len, text.splitlines())), 80)

    def test_example_of_the_configuration_passes(self):
        text = example.example(model.Configuration)
        check.check(model.Configuration, load.parse_text(text, 'e'), 'e')

    def test_rejects_malformed_documents(self):
        self.assertIn('Unexpected', self.load_error(b'{"node": }'))
        self.assertIn('UTF-8', self.load_error(b'\xff'))
        self.assertIn('too deep', self.load_error(b'[' * 100_000))
        self.assertIn('twice', self.load_error(b'{"node": 1, "node": 2}'))
        self.assertIn('twice', self.load_error(b'{node: 1, node: 2}'))

    def test_rejects_a_missing_file(self):
        with self.assertRaises(error.InvalidDocumentError) as caught:
            load.load_file(_Settings, str(self.path))
        self.assertIn('No such file', caught.exception.lines()[0])

    @hypothesis.given(strategies.text(max_size=40))
    def test_raises_only_its_own_error(self, text):
        try:
            load.parse_text(text, 'any')
        except error.InvalidDocumentError:
            return
