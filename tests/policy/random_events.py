"""A random stream, determined by a seed, of the events that a host may pass to a balancer."""

from __future__ import annotations

import random

from load_balancer.events import (
    Endpoint,
    EndpointListKind,
    EndpointState,
    HealthCheckEnded,
    Outcome,
    RequestAbandoned,
)
from tests.policy.simulated_host import SimulatedHost


class RandomEvents:
    """Draws random events and passes them to a simulated host, which checks every action."""

    def __init__(self, host: SimulatedHost, seed: int) -> None:
        self._host = host
        self._random = random.Random(seed)

    def run(self, steps: int) -> None:
        """Pass ``steps`` random events, then advance the time by 20 s so that open requests can finish."""
        for _ in range(steps):
            self._step()
        for _ in range(2000):
            self._host.advance(10.0)

    def _step(self) -> None:
        host, rng = self._host, self._random
        draw = rng.random()
        in_flight = host.all_in_flight()
        if draw < 0.35:
            class_index = rng.randrange(len(host.settings.classes))
            host.receive_request(class_index, rng.choice([None, 30.0, 400.0]))
        elif draw < 0.65 and in_flight:
            request, number = rng.choice(in_flight)
            host.end_attempt(request, number, rng.choice([*Outcome, Outcome.OK, Outcome.OK]))
        elif draw < 0.7:
            self._update_endpoints()
        elif draw < 0.73:
            self._abandon(rng.randrange(1, host.next_request + 1))
        elif draw < 0.76 and host.health_checks:
            outcome = rng.choice(list(Outcome))
            host.handle(HealthCheckEnded(host.health_checks.pop(), outcome, 5.0))
        else:
            host.advance(rng.choice([0.0, 5.0, 5.0, 10.0, 15.0]))

    def _abandon(self, request: int) -> None:
        tracked = self._host.requests.get(request)
        if tracked is not None and tracked.answered_at is None:
            tracked.answered_at = self._host.now
        self._host.handle(RequestAbandoned(request))

    def _update_endpoints(self) -> None:
        rng = self._random
        kind = rng.choice(list(EndpointListKind))
        if kind is EndpointListKind.FAILED:
            self._host.fail_poll()
            return
        rows = []
        for i in range(12):
            if rng.random() < 0.6:
                started_ms = rng.choice([0.0, self._host.now - 200.0])
                state = rng.choice(list(EndpointState))
                rows.append(Endpoint(bytes([i]), state, 1.0 + i % 2, 0, i % 3, i // 4, started_ms))
        self._host.update_endpoints(rows, kind)
