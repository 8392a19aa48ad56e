#!/bin/sh
# Plays the case: exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec ../../.venv/bin/python case.py
