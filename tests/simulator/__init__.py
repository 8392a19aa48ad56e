"""Tests of the simulator's wire protocol and of the adapter."""
