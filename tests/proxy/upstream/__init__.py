"""Tests of load_balancer.proxy.upstream."""
