"""Tests of load_balancer.proxy.observability."""
