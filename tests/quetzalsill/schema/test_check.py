"""Tests of the validation of parsed JSON against declared keys."""

from __future__ import annotations

import dataclasses
import json
import unittest

import hypothesis
from hypothesis import strategies

from quetzalsill.config import model
from quetzalsill.schema import check, error, key, plain

hypothesis.settings.register_profile('kernel', derandomize=True, deadline=None)
hypothesis.settings.load_profile('kernel')

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(strategies.characters(), max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ['profiles', 'limits', 'weight', 'deadline_s', 'a', 'B ']
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@dataclasses.dataclass(slots=True)
class Inner:
    """A nested section."""

    ratio: float = key.key('A ratio.', 0.5, minimum=0, maximum=1)
    words: list[str] = key.key('Words.', factory=list, pattern='[a-z]+')


@dataclasses.dataclass(slots=True)
class Outer:
    """A document."""

    count: int = key.key('A count.', minimum=1)
    token: str = key.key('A token.', '', secret=True, pattern='[0-9]*')
    inner: Inner = key.key('Nested.', factory=Inner)
    named: dict[str, Inner] = key.key('By name.', factory=dict)


class CheckTest(unittest.TestCase):
    """Valid values are converted; all errors of invalid ones are reported."""

    def errors_of(self, value):
        with self.assertRaises(error.InvalidDocumentError) as caught:
            check.check(Outer, value, 'f.json')
        return {
            invalid_key.path: invalid_key
            for invalid_key in caught.exception.exceptions
        }

    def test_builds_valid_values(self):
        built = check.check(
            Outer, {'count': 2, 'named': {'a': {'ratio': 1}}}, 'f.json'
        )
        self.assertEqual(built, Outer(2, named={'a': Inner(1.0)}))
        self.assertIsInstance(built.named['a'].ratio, float)

    def test_reports_all_errors_at_once(self):
        found = self.errors_of(
            {
                'token': 'secret-value',
                'inner': {'ratio': float('nan'), 'words': ['x', 'Y', 3]},
                'named': {'a': {'ratoi': 1}, 'Not a name': {}},
            }
        )
        self.assertEqual(
            sorted(found),
            [
                'count',
                'inner.ratio',
                'inner.words[1]',
                'inner.words[2]',
                'named',
                'named.a.ratoi',
                'token',
            ],
        )
        self.assertIn("Did you mean 'ratio'?", str(found['named.a.ratoi']))
        self.assertEqual(found['inner.ratio'].allowed, 'number from 0 to 1')

    def test_masks_secrets(self):
        for value in ('secret-value', ['secret-value'], {'x': 'secret-value'}):
            invalid_key = self.errors_of({'count': 1, 'token': value})['token']
            self.assertNotIn('secret-value', str(invalid_key))

    def test_booleans_and_fractions_are_not_integers(self):
        for value in (True, 1.0, '1', None, 0):
            self.assertIn('count', self.errors_of({'count': value}))

    def test_rejects_numbers_that_floats_cannot_represent(self):
        for value in (10**400, float('inf'), False):
            self.assertIn(
                'inner.ratio',
                self.errors_of({'count': 1, 'inner': {'ratio': value}}),
            )

    def test_rejects_unpaired_surrogates(self):
        words = json.loads('["\\ud800"]')
        found = self.errors_of({'count': 1, 'inner': {'words': words}})
        self.assertIn('inner.words[0]', found)

    def test_limits_the_number_of_errors(self):
        unknown = {f'key{index}': 0 for index in range(10_000)}
        self.assertLessEqual(len(self.errors_of(unknown)), 100)

    def test_error_group_keeps_its_type_when_split(self):
        """`except*` splits a group; each part must keep the type."""
        with self.assertRaises(error.InvalidDocumentError) as caught:
            check.check(Outer, {'x': 1}, 'f.json')
        matched, _ = caught.exception.split(error.InvalidKeyError)
        self.assertIsInstance(matched, error.InvalidDocumentError)
        self.assertEqual(matched.lines(), caught.exception.lines())

    @hypothesis.given(JSON)
    def test_raises_only_its_own_error(self, value):
        try:
            built = check.check(model.Configuration, value, 'any')
        except error.InvalidDocumentError as exc:
            self.assertTrue(all(exc.lines()))
        else:
            self.assertEqual(plain.to_plain(built).keys() >= value.keys(), True)

    @hypothesis.given(strategies.data())
    def test_plain_values_round_trip(self, data):
        built = Outer(
            data.draw(strategies.integers(1)),
            data.draw(strategies.text('0123456789')),
            Inner(data.draw(strategies.floats(0, 1))),
            {'n': Inner(words=data.draw(strategies.lists(
                strategies.text('abc', min_size=1))))},
        )  # fmt: skip
        text = json.dumps(plain.to_plain(built))
        self.assertEqual(check.check(Outer, json.loads(text), 'f'), built)
