#!/bin/sh
# Builds every stand-in that the scripts of this folder start.  They are Python programs that use the standard
# library alone, so the build only compiles them; the build of the deploy file must have run before.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
