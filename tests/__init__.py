"""Tests of the load balancer; their folders mirror those of the package."""
