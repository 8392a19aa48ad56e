"""Measure the processor time that the policy takes for one request, at several numbers of endpoints.

    python -m tools.measure_decision_cost    run from the root of the repository

For each request, the policy handles the arrival, selects an endpoint at random and handles the outcome of the
single attempt.  The measured time is the processor time of this process, without any I/O; each figure is the
minimum of several passes.
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
    """A policy instance that receives requests at a fixed interval; all attempts succeed."""

    def __init__(self, endpoint_count: int) -> None:
        settings = Settings(classes=(RequestClass("r", latency_objective_ms=1000, deadline_ms=3000),))
        self._balancer = Balancer(settings, seed=1)
        self._now = 1.0
        self._last_id = 0
        endpoints = tuple(Endpoint(number.to_bytes(4, "big")) for number in range(endpoint_count))
        self._balancer.handle(EndpointListUpdate(EndpointListKind.FULL, endpoints), self._now)

    def seconds_per_request(self) -> float:
        """Return the mean processor time of a request in one pass of REQUESTS requests, in seconds."""
        started = time.process_time()
        for _ in range(REQUESTS):
            self._serve_request()
        return (time.process_time() - started) / REQUESTS

    def _serve_request(self) -> None:
        self._last_id += 1
        self._now += INTERVAL_MS
        attempts = self._handle_arrival(RequestArrived(self._last_id, 0, BUDGET_MS))
        for number, attempt in enumerate(attempts):
            ended = AttemptEnded(
                self._last_id, number, attempt.endpoint_id, Outcome.OK, LATENCY_MS, finished=True
            )
            self._balancer.handle(ended, self._now)

    def _handle_arrival(self, arrival: RequestArrived) -> list[SendAttempt]:
        actions = self._balancer.handle(arrival, self._now)
        return [action for action in actions if isinstance(action, SendAttempt)]


def main() -> None:
    """Print the processor time of a request for each number of endpoints."""
    for endpoint_count in ENDPOINT_COUNTS:
        benchmark = DecisionBenchmark(endpoint_count)
        seconds = min(benchmark.seconds_per_request() for _ in range(PASSES))
        print(f"{endpoint_count:5} endpoints: {1000.0 * seconds:.3f} ms per request")


if __name__ == "__main__":
    main()
