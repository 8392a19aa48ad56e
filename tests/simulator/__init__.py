"""Tests of the simulator's wire and of the adapter on it."""
