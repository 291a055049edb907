#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python and use the standard
# library only, so building them is compiling them.
set -euo pipefail
cd "$(dirname "$0")"
exec python3 -m compileall -q .
