"""Tests of load_balancer.proxy.downstream."""
