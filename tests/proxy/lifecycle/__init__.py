"""Tests of load_balancer.proxy.lifecycle."""
