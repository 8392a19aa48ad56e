"""load_balancer: a load balancer whose decisions do no I/O."""

from load_balancer.policy.balancer import Automaton, Balancer

__all__ = ["Automaton", "Balancer"]
