"""The policy: all decisions of the load balancer.  It does no I/O."""
