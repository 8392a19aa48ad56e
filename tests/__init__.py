"""Tests of the load balancer; they mirror the package."""
