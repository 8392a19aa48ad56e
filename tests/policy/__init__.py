"""Tests of the policy: events in, actions out, one file for each of its parts."""
