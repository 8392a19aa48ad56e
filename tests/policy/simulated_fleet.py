"""A simulated fleet of nodes that share servers; some servers are replaced while the request rate rises."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from dataclasses import dataclass, replace

from load_balancer import Balancer
from load_balancer.actions import Action, FailRequest, RejectRequest, SendAttempt, SetTimer
from load_balancer.events import (
    AttemptEnded,
    Endpoint,
    EndpointId,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from load_balancer.settings import Settings
from tests.policy.sample_classes import IDEMPOTENT

FLEET_SETTINGS = Settings(
    classes=(IDEMPOTENT,), warm_up_ms=12_000.0, initial_capacity=0.2, overload_window_ms=1000.0
)
WARM_UNITS_PER_S = 20.0
"""The units of work that a warm server completes per second."""
REPLACED_AT_MS = 8_000.0
"""The time at which servers are replaced, in milliseconds."""
END_AT_MS = 11_000.0
"""The time at which the simulation ends, in milliseconds."""
NOTIFIED_WITHIN_MS = 200.0
"""The maximum time from the replacement of servers until a node is notified of the replacement."""
TIMEOUT_MS = 2800.0
"""The minimum latency, in milliseconds, of an attempt that times out."""


@dataclass
class SentWork:
    """The work of an attempt that a node has sent to a server.

    Attributes:
        at: the time of sending, in milliseconds.
        endpoint: the id of the server.
        units: the units of work.
        notified: whether the node had been notified that servers have started.
    """

    at: float
    endpoint: EndpointId
    units: float
    notified: bool


class Fleet:
    """Nodes that share servers; each server has a queue.

    When servers are replaced, the request rate rises by half.  No node knows what the others send.

    Attributes:
        sent: all attempts that were sent, in order.

    Args:
        nodes: the number of nodes.
        overload_multiple: the overload multiple in the settings of the nodes.
        new_nodes: whether the nodes are replaced by new processes together with the servers.
        seed: the seed of all random numbers.
        replaced: the number of servers, out of ten, that are replaced.
        with_cost_hints: whether requests carry an estimate of their work.
    """

    def __init__(
        self,
        nodes: int,
        overload_multiple: float,
        new_nodes: bool,
        seed: int,
        *,
        replaced: int = 6,
        with_cost_hints: bool = True,
    ) -> None:
        self._with_cost_hints = with_cost_hints
        self.sent: list[SentWork] = []
        self._nodes = nodes
        self._overload_multiple = overload_multiple
        self._new_nodes = new_nodes
        self._seed = seed
        self._now = 0.0
        self._random = random.Random(seed)
        self._endpoints = [bytes([i]) for i in range(10)]
        self._replaced = self._endpoints[-replaced:]
        self._balancers = [self._new_balancer(i) for i in range(nodes)]
        self._notified = [False] * nodes
        self._busy_until = dict.fromkeys(self._endpoints, 0.0)
        self._open_requests: dict[tuple[int, int], tuple[float, int]] = {}  # units of work, attempts sent
        self._request_numbers = itertools.count(1)
        self._sequence_numbers = itertools.count()
        self._scheduled_events: list[tuple[float, int, int, Balancer, Event | None]] = []

    def _new_balancer(self, index: int) -> Balancer:
        settings = replace(
            FLEET_SETTINGS,
            node_count=self._nodes,
            node_index=index,
            overload_multiple=self._overload_multiple,
        )
        return Balancer(settings, 1000 * self._seed + index)

    def run(self) -> None:
        """Run the simulation from the first request to END_AT_MS, some seconds after servers are replaced."""
        full_list = EndpointListUpdate(EndpointListKind.FULL, tuple(map(Endpoint, self._endpoints)))
        for node in range(self._nodes):
            self._handle(node, full_list)
        self._schedule(0.0, -1, None)
        while self._scheduled_events and (due := heapq.heappop(self._scheduled_events))[0] < END_AT_MS:
            at, _, node, balancer, event = due
            if self._now < REPLACED_AT_MS <= at:
                self._replace_servers(full_list)
            self._now = at
            if event is None:
                self._receive_request()
            elif balancer is self._balancers[node]:  # otherwise the node has been replaced
                self._handle(node, event)

    def _schedule(self, at: float, node: int, event: Event | None) -> None:
        heapq.heappush(
            self._scheduled_events, (at, next(self._sequence_numbers), node, self._balancers[node], event)
        )

    def _replace_servers(self, full_list: EndpointListUpdate) -> None:
        started = tuple(Endpoint(endpoint, started_ms=REPLACED_AT_MS) for endpoint in self._replaced)
        all_replaced = len(started) == len(self._endpoints)
        first_list = EndpointListUpdate(EndpointListKind.FULL, started) if all_replaced else full_list
        for node in range(self._nodes):
            if self._new_nodes:
                self._balancers[node] = self._new_balancer(node)
                self._schedule(REPLACED_AT_MS, node, first_list)
            notified_at = REPLACED_AT_MS + self._random.random() * NOTIFIED_WITHIN_MS
            self._schedule(notified_at, node, EndpointListUpdate(EndpointListKind.DELTA, started))

    def _receive_request(self) -> None:
        """Pass a request of random work to a random node and schedule the next request.

        After the replacement of servers the request rate is 1.5 times as high as before.
        """
        requests_per_ms = 0.9 * WARM_UNITS_PER_S * len(self._endpoints) / 1000.0
        requests_per_ms *= 1.5 if self._now >= REPLACED_AT_MS else 1.0
        self._schedule(self._now + self._random.expovariate(requests_per_ms), -1, None)
        # Some nodes receive several times the mean request rate.
        node = min(int(self._random.expovariate(4.0 / self._nodes)), self._nodes - 1)
        units = max(0.02, self._random.lognormvariate(-0.35, 0.83))
        request = next(self._request_numbers)
        self._open_requests[node, request] = units, 0
        hint_ms = 10.0 * units if self._with_cost_hints else None
        self._handle(node, RequestArrived(request, 0, 2900.0, cost_hint_ms=hint_ms))

    def _handle(self, node: int, event: Event) -> None:
        if isinstance(event, EndpointListUpdate) and any(e.started_ms for e in event.endpoints):
            self._notified[node] = True
        elif isinstance(event, AttemptEnded) and event.finished:
            self._open_requests.pop((node, event.request_id), None)
        for action in self._balancers[node].handle(event, self._now):
            self._execute_action(node, action)

    def _execute_action(self, node: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self._schedule(action.at_ms, node, TimerFired(action.token))
        elif isinstance(action, RejectRequest | FailRequest):
            self._open_requests.pop((node, action.request_id), None)
        elif isinstance(action, SendAttempt):
            self._execute_send(node, action.request_id, action.endpoint_id)

    def _execute_send(self, node: int, request: int, endpoint: EndpointId) -> None:
        units, number = self._open_requests[node, request]
        self._open_requests[node, request] = units, number + 1
        self.sent.append(SentWork(self._now, endpoint, units, self._notified[node]))
        latency_ms = self._queue_work(endpoint, units)
        outcome = Outcome.OK if latency_ms < TIMEOUT_MS else Outcome.TIMEOUT
        latency_ms = min(latency_ms, TIMEOUT_MS + 50.0)
        ended = AttemptEnded(request, number, endpoint, outcome, latency_ms, outcome is Outcome.OK)
        self._schedule(self._now + latency_ms, node, ended)

    def _queue_work(self, endpoint: EndpointId, units: float) -> float:
        """Queue work at a server and return the time in milliseconds until the work is done.

        The server first does the work that was queued earlier.  A random delay is added to the time.
        """
        capacity = self._capacity(self._now) if endpoint in self._replaced else 1.0
        done_at = max(self._busy_until[endpoint], self._now) + units / (WARM_UNITS_PER_S * capacity / 1000.0)
        self._busy_until[endpoint] = done_at
        return done_at - self._now + self._random.expovariate(1 / 50.0)

    @staticmethod
    def _capacity(now: float) -> float:
        """Return the capacity of a replaced server at this time, as a fraction of its capacity when warm."""
        if now < REPLACED_AT_MS:
            return 1.0
        initial = FLEET_SETTINGS.initial_capacity
        return min(1.0, initial + (1.0 - initial) * (now - REPLACED_AT_MS) / FLEET_SETTINGS.warm_up_ms)

    def max_overload(self) -> float:
        """Return the highest ratio, over all replaced servers and time windows, of work sent to work allowed.

        The work allowed in a window is the overload multiple of the server's capacity at the beginning of the
        window, plus a margin for random variation.  A window counts only if more than two thirds of its work
        came from nodes that had been notified that servers have started.
        """
        max_overload = 0.0
        for endpoint in self._replaced:
            window: deque[SentWork] = deque()
            for sent in self.sent:
                if sent.endpoint != endpoint or sent.at < REPLACED_AT_MS:
                    continue
                window.append(sent)
                while window[0].at < sent.at - FLEET_SETTINGS.overload_window_ms:
                    window.popleft()
                max_overload = max(max_overload, self._overload(window, sent.at))
        return max_overload

    def _overload(self, window: deque[SentWork], end: float) -> float:
        units = sum(sent.units for sent in window)
        if sum(sent.units for sent in window if sent.notified) <= 2 / 3 * units:
            return 0.0
        span_ms = FLEET_SETTINGS.overload_window_ms
        capacity = self._capacity(max(REPLACED_AT_MS, end - span_ms))
        budget = self._overload_multiple * capacity * WARM_UNITS_PER_S * span_ms / 1000.0
        return units / (budget + 2.0 * math.sqrt(budget) + 2.0)

    def load_in_final_second(self) -> float:
        """Return the work sent in the last second, as a fraction of the capacity of the replaced servers."""
        units = sum(sent.units for sent in self.sent if sent.at >= END_AT_MS - 1000.0)
        return units / (WARM_UNITS_PER_S * len(self._replaced) * self._capacity(END_AT_MS - 500.0))
