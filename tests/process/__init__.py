"""Tests of the node's process, started by the command of deploy/balancer.toml as the platform starts it."""
