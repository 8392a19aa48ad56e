"""Tests of the fault test, including a short run of it."""
