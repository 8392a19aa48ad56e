"""load_balancer: a load balancer whose decisions do no I/O."""

from load_balancer.policy.automaton import Automaton
from load_balancer.policy.balancer import Balancer

__all__ = ["Automaton", "Balancer"]
