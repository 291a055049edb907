"""Tests of the adapter to the users' platform, and of the path through it."""

from __future__ import annotations

import pathlib
import sys

# The adapter's folder is no package: one named `platform` would hide Python's
# own module. Its programs put it on the path, and so do its tests.
FOLDER = pathlib.Path(__file__).parents[2] / 'platform'
if str(FOLDER) not in sys.path:
    sys.path.append(str(FOLDER))
