"""Tests of the node's process, started with the run command of deploy/balancer.toml, as on the platform."""
