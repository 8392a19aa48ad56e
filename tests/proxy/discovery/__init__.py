"""Tests of load_balancer.proxy.discovery."""
