"""Tests of disabling mechanisms in copies of the checkout."""

from __future__ import annotations

import pathlib
import shutil
import tempfile
import unittest

from quetzalsill_dev import ablation


class AblationTest(unittest.TestCase):
    """Guards against a changed module whose edit silently disables nothing."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)

    def copy_module(self, module):
        target = self.root / module
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(ablation.ROOT / module, target)
        return target

    def test_every_edit_fits_its_module(self):
        for name, edit in ablation.MECHANISMS.items():
            with self.subTest(name):
                path = self.copy_module(edit.module)
                before = path.read_text()
                ablation.apply(edit, self.root)
                self.assertNotEqual(path.read_text(), before)
                compile(path.read_text(), str(path), 'exec')

    def test_an_edit_that_does_not_fit_is_an_error(self):
        edit = ablation.Edit('platform/run.py', 'no such text', '')
        self.copy_module(edit.module)
        with self.assertRaises(ablation.EditError):
            ablation.apply(edit, self.root)

    def test_wrong_usage_says_what_is_there(self):
        self.assertEqual(ablation.main(['no-such', str(self.root / 'x')]), 2)
        self.assertEqual(ablation.main(['moves', str(self.root)]), 2)


if __name__ == '__main__':
    unittest.main()
