"""Tests of load_balancer.proxy.event_loop."""
