"""Every decision of the load balancer, without I/O."""
