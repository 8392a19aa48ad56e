#!/bin/sh
# Runs this case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONPATH=.
exec timeout -k 5 115 .venv/bin/python review/3/case.py
