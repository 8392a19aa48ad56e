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
"""The initial concurrency limit of a node, in attempts in flight per warm server's worth of capacity."""


def endpoint_ids(count: int) -> list[bytes]:
    """Return the ids of the first ``count`` endpoints."""
    return [bytes([n]) for n in range(count)]


def end_attempts_older_than(
    host: SimulatedHost, age_ms: float, outcome: Outcome, max_count: int | None = None
) -> None:
    """End the attempts in flight for at least this time; at most ``max_count`` if that is given."""
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
