"""Tests of the fault test: its oracle, its plans, its shims, and a short run of it."""
