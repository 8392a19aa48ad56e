"""A load balancer whose policy, the part that makes the decisions, does no I/O."""

from load_balancer.policy.automaton import Automaton
from load_balancer.policy.balancer import Balancer

__all__ = ["Automaton", "Balancer"]
