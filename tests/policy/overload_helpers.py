"""Classes, traffic and observations that several tests of load share."""

from __future__ import annotations

from load_balancer.events import Outcome
from load_balancer.settings import RequestClass
from tests.policy.simulated_host import SimulatedHost

SLOW_CLASS = RequestClass("r", 1500, 4000)
SLOWEST_CLASS = RequestClass("r", 4500, 9000)
START_LIMIT = 6
"""Attempts in flight at the start for each warm server's worth of capacity."""


def endpoint_names(count: int) -> list[bytes]:
    """Ids of endpoints."""
    return [bytes([n]) for n in range(count)]


def end_older_than(host: SimulatedHost, age_ms: float, outcome: Outcome, most: int | None = None) -> None:
    """End the attempts that have been in flight for this long, or the first few of them."""
    attempts = [
        (request, number)
        for request, number in host.all_in_flight()
        if host.now - host.requests[request].attempts[number].sent_at >= age_ms - 1e-6
    ]
    for request, number in attempts[:most]:
        host.end_attempt(request, number, outcome)


def shedding_events(host: SimulatedHost) -> list[str]:
    """The names of all log events so far."""
    return [line.split()[0] for line in host.log_lines()]
