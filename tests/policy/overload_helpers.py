"""Request classes and functions shared by the tests of admission, congestion and concurrency limits."""

from __future__ import annotations

from load_balancer.events import Outcome
from load_balancer.settings import RequestClass
from tests.policy.simulated_host import SimulatedHost

SLOW_CLASS = RequestClass("r", 1500, 4000)
"""A class with a latency objective of 1.5 s."""
SLOWEST_CLASS = RequestClass("r", 4500, 9000)
"""A class with a latency objective of 4.5 s."""
INITIAL_LIMIT_PER_SERVER = 6
"""The initial limit on a node's attempts in flight per warm server.

A server that is warming up counts as a fraction of a warm server.
"""


def endpoint_ids(count: int) -> list[bytes]:
    """Return ``count`` endpoint ids, each a single byte, beginning with the byte 0."""
    return [bytes([n]) for n in range(count)]


def end_attempts_older_than(
    host: SimulatedHost, age_ms: float, outcome: Outcome, max_count: int | None = None
) -> None:
    """End the attempts that have been in flight for at least ``age_ms``.

    If ``max_count`` is given, end at most that many of them, in the order of their request numbers.
    """
    attempts = [
        (request, number)
        for request, number in host.all_in_flight()
        if host.now - host.requests[request].attempts[number].sent_at >= age_ms - 1e-6
    ]
    for request, number in attempts[:max_count]:
        host.end_attempt(request, number, outcome)


def log_event_names(host: SimulatedHost) -> list[str]:
    """Return the names of all log events so far, in order."""
    return [line.split()[0] for line in host.log_lines()]
