"""A simulated fleet: nodes that share servers, some of which are replaced while more requests come in."""

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
"""The work that a warm server does."""
REPLACED_AT = 8_000.0
END_AT = 11_000.0
NOTIFIED_WITHIN_MS = 200.0
TIMEOUT_MS = 2800.0


@dataclass
class SentWork:
    """An attempt as a server counts it."""

    at: float
    endpoint: EndpointId
    units: float
    notified: bool
    """Whether the node was notified of the server's start."""


class Fleet:
    """Nodes that share servers, each with a queue; when some are replaced, the arrivals rise by half.

    No node sees what the others send.  With ``new_nodes`` the nodes, too, are new processes from then on.
    """

    def __init__(
        self,
        nodes: int,
        multiple: float,
        new_nodes: bool,
        seed: int,
        *,
        replaced: int = 6,
        hinted: bool = True,
    ) -> None:
        self._hinted = hinted
        self.sent: list[SentWork] = []
        self._nodes = nodes
        self._multiple = multiple
        self._new_nodes = new_nodes
        self._seed = seed
        self._now = 0.0
        self._random = random.Random(seed)
        self._endpoints = [bytes([i]) for i in range(10)]
        self._replaced = self._endpoints[-replaced:]
        self._balancers = [self._new_balancer(i) for i in range(nodes)]
        self._notified = [False] * nodes
        self._busy_until = dict.fromkeys(self._endpoints, 0.0)
        self._open: dict[tuple[int, int], tuple[float, int]] = {}  # units, attempts
        self._request_numbers = itertools.count(1)
        self._order = itertools.count()
        self._due: list[tuple[float, int, int, Balancer, Event | None]] = []

    def _new_balancer(self, index: int) -> Balancer:
        settings = replace(
            FLEET_SETTINGS, node_count=self._nodes, node_index=index, overload_multiple=self._multiple
        )
        return Balancer(settings, 1000 * self._seed + index)

    def run(self) -> None:
        """From the first request to some seconds after servers were replaced."""
        full_list = EndpointListUpdate(EndpointListKind.FULL, tuple(map(Endpoint, self._endpoints)))
        for node in range(self._nodes):
            self._handle(node, full_list)
        self._schedule(0.0, -1, None)
        while self._due and (due := heapq.heappop(self._due))[0] < END_AT:
            at, _, node, balancer, event = due
            if self._now < REPLACED_AT <= at:
                self._replace_servers(full_list)
            self._now = at
            if event is None:
                self._arrive()
            elif balancer is self._balancers[node]:  # otherwise the event is for a replaced node
                self._handle(node, event)

    def _schedule(self, at: float, node: int, event: Event | None) -> None:
        heapq.heappush(self._due, (at, next(self._order), node, self._balancers[node], event))

    def _replace_servers(self, full_list: EndpointListUpdate) -> None:
        started = tuple(Endpoint(endpoint, started_ms=REPLACED_AT) for endpoint in self._replaced)
        all_replaced = len(started) == len(self._endpoints)
        first_list = EndpointListUpdate(EndpointListKind.FULL, started) if all_replaced else full_list
        for node in range(self._nodes):
            if self._new_nodes:
                self._balancers[node] = self._new_balancer(node)
                self._schedule(REPLACED_AT, node, first_list)
            notified_at = REPLACED_AT + self._random.random() * NOTIFIED_WITHIN_MS
            self._schedule(notified_at, node, EndpointListUpdate(EndpointListKind.DELTA, started))

    def _arrive(self) -> None:
        """A request of random work arrives at a random node; after the replacement the rate is 1.5 times."""
        per_ms = 0.9 * WARM_UNITS_PER_S * len(self._endpoints) / 1000.0
        per_ms *= 1.5 if self._now >= REPLACED_AT else 1.0
        self._schedule(self._now + self._random.expovariate(per_ms), -1, None)
        # Some nodes get several times the mean.
        node = min(int(self._random.expovariate(4.0 / self._nodes)), self._nodes - 1)
        units = max(0.02, self._random.lognormvariate(-0.35, 0.83))
        request = next(self._request_numbers)
        self._open[node, request] = units, 0
        hint_ms = 10.0 * units if self._hinted else None
        self._handle(node, RequestArrived(request, 0, 2900.0, cost_hint_ms=hint_ms))

    def _handle(self, node: int, event: Event) -> None:
        if isinstance(event, EndpointListUpdate) and any(e.started_ms for e in event.endpoints):
            self._notified[node] = True
        elif isinstance(event, AttemptEnded) and event.finished:
            self._open.pop((node, event.request_id), None)
        for action in self._balancers[node].handle(event, self._now):
            self._carry_out(node, action)

    def _carry_out(self, node: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self._schedule(action.at_ms, node, TimerFired(action.token))
        elif isinstance(action, RejectRequest | FailRequest):
            self._open.pop((node, action.request_id), None)
        elif isinstance(action, SendAttempt):
            self._carry_out_send(node, action.request_id, action.endpoint_id)

    def _carry_out_send(self, node: int, request: int, endpoint: EndpointId) -> None:
        units, number = self._open[node, request]
        self._open[node, request] = units, number + 1
        self.sent.append(SentWork(self._now, endpoint, units, self._notified[node]))
        took_ms = self._queue(endpoint, units)
        outcome = Outcome.OK if took_ms < TIMEOUT_MS else Outcome.TIMEOUT
        took_ms = min(took_ms, TIMEOUT_MS + 50.0)
        ended = AttemptEnded(request, number, endpoint, outcome, took_ms, outcome is Outcome.OK)
        self._schedule(self._now + took_ms, node, ended)

    def _queue(self, endpoint: EndpointId, units: float) -> float:
        """The time until the server has done this work, after the work that was queued before."""
        capacity = self._capacity(self._now) if endpoint in self._replaced else 1.0
        done = max(self._busy_until[endpoint], self._now) + units / (WARM_UNITS_PER_S * capacity / 1000.0)
        self._busy_until[endpoint] = done
        return done - self._now + self._random.expovariate(1 / 50.0)

    @staticmethod
    def _capacity(now: float) -> float:
        """The part of its later capacity that a replaced server has."""
        if now < REPLACED_AT:
            return 1.0
        initial = FLEET_SETTINGS.initial_capacity
        return min(1.0, initial + (1.0 - initial) * (now - REPLACED_AT) / FLEET_SETTINGS.warm_up_ms)

    def worst_overload(self) -> float:
        """The highest work of a replaced server in a window, as a part of its budget and a margin for chance.

        Windows count where more than two thirds of the work came from nodes that were notified of the start.
        """
        worst = 0.0
        for endpoint in self._replaced:
            window: deque[SentWork] = deque()
            for sent in self.sent:
                if sent.endpoint != endpoint or sent.at < REPLACED_AT:
                    continue
                window.append(sent)
                while window[0].at < sent.at - FLEET_SETTINGS.overload_window_ms:
                    window.popleft()
                worst = max(worst, self._overload(window, sent.at))
        return worst

    def _overload(self, window: deque[SentWork], end: float) -> float:
        units = sum(sent.units for sent in window)
        if sum(sent.units for sent in window if sent.notified) <= 2 / 3 * units:
            return 0.0
        span_ms = FLEET_SETTINGS.overload_window_ms
        capacity = self._capacity(max(REPLACED_AT, end - span_ms))
        budget = self._multiple * capacity * WARM_UNITS_PER_S * span_ms / 1000.0
        return units / (budget + 2.0 * math.sqrt(budget) + 2.0)

    def work_sent_after_replacement(self) -> float:
        """The work of replaced servers in the last second, as a part of their capacity."""
        units = sum(sent.units for sent in self.sent if sent.at >= END_AT - 1000.0)
        return units / (WARM_UNITS_PER_S * len(self._replaced) * self._capacity(END_AT - 500.0))
