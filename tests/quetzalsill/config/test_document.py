"""Tests of documents, differences and references of the configuration."""

from __future__ import annotations

import dataclasses
import json
import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill.config import difference, document, model, reference
from quetzalsill.plugin import registry as plugin_registry
from quetzalsill.schema import error

NAMES = strategies.from_regex(model.NAME, fullmatch=True)
CONFIGURATIONS = strategies.builds(
    model.Configuration,
    profiles=strategies.dictionaries(
        NAMES,
        strategies.builds(
            model.Profile,
            durable=strategies.booleans(),
            priority=strategies.integers(0, 9),
            deadline_s=strategies.floats(0.1, 86400),
        ),
        max_size=3,
    ),
    accounts=strategies.dictionaries(
        NAMES,
        strategies.builds(
            model.Account,
            profiles=strategies.lists(NAMES, max_size=2),
            limits=strategies.builds(
                model.Limits, concurrency=strategies.integers(0, 1000)
            ),
        ),
        max_size=3,
    ),
)


def parse(plain):
    return document.parse(json.dumps(plain).encode(), 1)


class DocumentTest(unittest.TestCase):
    """A document parses to the same configuration on every node."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(CONFIGURATIONS, strategies.integers(0))
    def test_round_trip(self, cfg, revision):
        stored = document.render(cfg)
        parsed = document.parse(stored, revision)
        self.assertEqual(parsed, dataclasses.replace(cfg, revision=revision))
        self.assertEqual(document.render(parsed), stored)
        self.assertEqual(difference.difference(cfg, parsed), [])

    def test_rejects_a_document_larger_than_a_frame(self):
        with self.assertRaises(error.InvalidDocumentError):
            document.parse(b' ' * (document.MAX_DOCUMENT_BYTES + 1), 1)

    def test_rejects_comments_in_the_store(self):
        with self.assertRaises(error.InvalidDocumentError):
            document.parse(b'{} // edited', 1)

    def test_difference_names_keys_and_masks_secrets(self):
        digest = 'a' * 64
        old = parse({'profiles': {'p': {}}, 'accounts': {'a': {}}})
        new = parse(
            {
                'profiles': {'p': {'priority': 1}},
                'accounts': {'a': {'token_sha256': [digest]}},
            }
        )
        secret, priority = difference.difference(old, new)
        self.assertEqual(secret.path, 'accounts.a.token_sha256')
        self.assertNotIn(digest, str(secret))
        self.assertEqual(
            priority, difference.Change('profiles.p.priority', 5, 1)
        )


class ReferenceTest(unittest.TestCase):
    """Invalid references are reported before a configuration is accepted."""

    def invalid_paths(self, plain, registry=None):
        registry = registry or plugin_registry.Registry()
        try:
            reference.check_references(parse(plain), registry)
        except error.InvalidDocumentError as exc:
            return [invalid_key.path for invalid_key in exc.exceptions]
        return []

    def test_names_must_exist(self):
        upstream = {
            'kind': 'model',
            'sidecar': '127.0.0.1:1',
            'availability_zone': 'z',
            'models': ['m', 'gone'],
            'adapters': ['a', 'gone'],
            'services': ['gone'],
        }
        self.assertEqual(
            self.invalid_paths(
                {
                    'profiles': {'prompt': {}},
                    'models': {'m': {'profile': 'gone', 'adapters': ['a']}},
                    'upstreams': {'u': upstream},
                    'accounts': {'c': {'profiles': ['prompt', 'gone']}},
                }
            ),
            [
                'models.m.profile',
                'upstreams.u.models[1]',
                'upstreams.u.adapters[1]',
                'upstreams.u.services[0]',
                'accounts.c.profiles[1]',
            ],
        )

    def test_policies_are_checked_if_their_kind_is_installed(self):
        registry = plugin_registry.Registry()
        registry.add('routing', 'rotate', None, 'In turn.')
        plain = {'policies': {'routing': 'gone', 'fairness': 'gone'}}
        self.assertEqual(
            self.invalid_paths(plain, registry), ['policies.routing']
        )

    def test_tokens_and_sidecars_are_unique(self):
        """Guards against charging a caller to another account.

        If two accounts have the digest of the same token, the account of a
        request depends on the order of the accounts.
        """
        digest = '0' * 64
        upstream = {
            'kind': 'app',
            'sidecar': '127.0.0.1:1',
            'availability_zone': 'z',
        }
        self.assertEqual(
            self.invalid_paths(
                {
                    'profiles': {'prompt': {}},
                    'accounts': {'a': {'token_sha256': [digest]}},
                    'operators': {'o': {'token_sha256': digest}},
                    'upstreams': {'u': upstream, 'v': upstream},
                }
            ),
            ['operators.o.token_sha256', 'upstreams.v.sidecar'],
        )
