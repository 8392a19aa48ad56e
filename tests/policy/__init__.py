"""Tests of the policy, which pass events to it and check the resulting actions; one file for each part."""
