"""Tests of the selection of a request's profile."""

from __future__ import annotations

import unittest

from quetzalsill.config import model
from quetzalsill.error import request as request_error
from quetzalsill_router.http import auth
from quetzalsill_router.request import accept

NAMES = ('requested', 'account', 'model', 'prompt')


class PickProfileTest(unittest.TestCase):
    """Order of precedence, as documented in docs/PROFILES.md."""

    def pick(
        self,
        requested='',
        account_default='',
        model_default='',
        allowed=(),
        names=NAMES,
    ):
        cfg = model.Configuration(
            profiles={name: model.Profile() for name in names}
        )
        caller = auth.Caller(
            'retailers',
            model.Account(
                default_profile=account_default, profiles=list(allowed)
            ),
        )
        return accept.pick_profile(cfg, caller, requested, model_default)[0]

    def test_first_name_that_is_set_is_used(self):
        for names in (NAMES[:3], ('', *NAMES[1:3]), ('', '', 'model'), ()):
            expected = next(filter(None, names), 'prompt')
            self.assertEqual(self.pick(*names), expected)

    def test_a_name_that_is_missing_or_not_allowed_is_refused(self):
        with self.assertRaisesRegex(request_error.UnknownProfileError, 'none'):
            self.pick('none')
        with self.assertRaisesRegex(
            request_error.UnknownProfileError, 'prompt'
        ):
            self.pick(names=())
        with self.assertRaisesRegex(request_error.ForbiddenError, 'account'):
            self.pick('requested', allowed=['account'])


if __name__ == '__main__':
    unittest.main()
