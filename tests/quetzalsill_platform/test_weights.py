"""Weights of client accounts in a configuration document."""

from __future__ import annotations

import unittest

from quetzalsill_platform import configuration

from quetzalsill_gateway import error


def decode(**entry):
    """Returns the account of a configuration with one `tenants` entry."""
    document = {
        'version': 1,
        'routes': [],
        'services': [],
        'tenants': [{'name': 'acme', 'apiKeys': ['k']} | entry],
    }
    return configuration.decode(document).accounts[b'k']


class WeightTest(unittest.TestCase):
    """Valid and invalid weights."""

    def test_valid_weights(self):
        self.assertEqual(decode().weight, 1.0)
        self.assertEqual(decode(weight=3).weight, 3.0)
        self.assertEqual(decode(weight=1000).weight, 1000.0)
        self.assertEqual(decode(weight=0.001).weight, 0.001)

    def test_invalid_weights_reject_the_configuration(self):
        """A weight of 0 would divide by zero; a huge one would starve all.

        With a tiny one, a virtual time would become infinite.
        """
        for weight in (
            *(0, -1, 1000.5, 10**400, float('nan'), float('inf')),
            *(True, None, '3', [], {}, 1e-320, 0.0009),
        ):
            with (
                self.subTest(weight=weight),
                self.assertRaises(error.ConfigurationError) as caught,
            ):
                decode(weight=weight)
            text = f'{caught.exception} {caught.exception.advice}'
            self.assertIn('weight', text)
            self.assertIn('acme', text)
            self.assertIn('previous configuration stays', text)
