"""Tests of the load balancer; the folders policy, proxy and simulator mirror those of the package."""
