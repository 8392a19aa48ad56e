"""Measures the processor time of one request in the policy at several numbers of endpoints.

    python -m tools.measure_decision_cost    from the root of the repository

A request consists of its arrival, the draw of its endpoint and the outcome of its one attempt.  The time is
the processor time of this process, without any I/O; each figure is the minimum of several passes.
"""

from __future__ import annotations

import time

from load_balancer import Balancer
from load_balancer.actions import SendAttempt
from load_balancer.events import (
    AttemptEnded,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    Outcome,
    RequestArrived,
)
from load_balancer.settings import RequestClass, Settings

ENDPOINT_COUNTS = (16, 256, 1024, 4096)
REQUESTS = 100
PASSES = 5
LATENCY_MS = 20.0
INTERVAL_MS = 5.0
BUDGET_MS = 3000.0


class DecisionBenchmark:
    """A policy that receives a steady stream of requests, all of which are served."""

    def __init__(self, endpoint_count: int) -> None:
        settings = Settings(classes=(RequestClass("r", latency_objective_ms=1000, deadline_ms=3000),))
        self._balancer = Balancer(settings, seed=1)
        self._now = 1.0
        self._last_id = 0
        endpoints = tuple(Endpoint(number.to_bytes(4, "big")) for number in range(endpoint_count))
        self._balancer.handle(EndpointListUpdate(EndpointListKind.FULL, endpoints), self._now)

    def seconds_per_request(self) -> float:
        """The processor seconds that one request takes in a pass over REQUESTS of them."""
        began = time.process_time()
        for _ in range(REQUESTS):
            self._serve_one()
        return (time.process_time() - began) / REQUESTS

    def _serve_one(self) -> None:
        self._last_id += 1
        self._now += INTERVAL_MS
        attempts = self._decide(RequestArrived(self._last_id, 0, BUDGET_MS))
        for number, attempt in enumerate(attempts):
            ended = AttemptEnded(
                self._last_id, number, attempt.endpoint_id, Outcome.OK, LATENCY_MS, finished=True
            )
            self._balancer.handle(ended, self._now)

    def _decide(self, arrival: RequestArrived) -> list[SendAttempt]:
        actions = self._balancer.handle(arrival, self._now)
        return [action for action in actions if isinstance(action, SendAttempt)]


def main() -> None:
    """Print a line for each number of endpoints."""
    for endpoint_count in ENDPOINT_COUNTS:
        benchmark = DecisionBenchmark(endpoint_count)
        seconds = min(benchmark.seconds_per_request() for _ in range(PASSES))
        print(f"{endpoint_count:5} endpoints: {1000.0 * seconds:.3f} ms a request")


if __name__ == "__main__":
    main()
