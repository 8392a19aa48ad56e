"""Tests of load_balancer.proxy.discovery.endpoint_discovery."""
