"""Tests of the adapter to the users' platform, and of gateways that use it."""

from __future__ import annotations

import pathlib
import sys

# The adapter's directory is not a package, as one named `platform` would shadow
# the standard library's module. Like `run.py`, the tests add it to `sys.path`.
FOLDER = pathlib.Path(__file__).parents[2] / 'platform'
if str(FOLDER) not in sys.path:
    sys.path.append(str(FOLDER))
