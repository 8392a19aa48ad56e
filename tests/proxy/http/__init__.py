"""Tests of load_balancer.proxy.http."""
