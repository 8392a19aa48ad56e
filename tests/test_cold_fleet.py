"""Cold servers under the sum of what many nodes send: no node sees it, and the ramp must hold for it."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from dataclasses import dataclass, field, replace

import pytest

from load_balancer.actions import Action, FailRequest, RejectRequest, SendAttempt, SetTimer
from load_balancer.events import (
    AttemptEnded,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from load_balancer.policy.balancer import Balancer
from load_balancer.settings import RequestClass, Settings

BEARS = 20.0  # units a second that a warm server bears
REPLACED_AT = 8_000.0
END_AT = 11_000.0
TOLD_MOST_MS = 200.0
SETTINGS = Settings(
    classes=(RequestClass("r", 1000, 3000),),
    warm_up_ms=12_000.0,
    initial_capacity=0.2,
    overload_window_ms=1000.0,
)


@dataclass
class Sent:
    at: float
    server: bytes
    units: float
    told: bool  # whether the node knew of the start


@dataclass
class Fleet:
    """Nodes that share servers with a queue each; when some are replaced, more begins to come in."""

    nodes: int
    multiple: float
    seed: int
    fresh: bool  # the nodes, too, are new processes from then on
    servers: int = 10
    cold: int = 6
    now: float = 0.0
    sent: list[Sent] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._names = [bytes([i]) for i in range(self.servers)]
        self._balancers = [self._new(i) for i in range(self.nodes)]
        self._told = [False] * self.nodes
        self._busy = dict.fromkeys(self._names, 0.0)
        self._open: dict[tuple[int, int], tuple[float, int]] = {}  # units, attempts
        self._ids = itertools.count(1)
        self._order = itertools.count()
        self._due: list[tuple[float, int, int, Balancer, Event | None]] = []

    def _new(self, ordinal: int) -> Balancer:
        settings = replace(
            SETTINGS, node_count=self.nodes, node_index=ordinal, overload_multiple=self.multiple
        )
        return Balancer(settings, 1000 * self.seed + ordinal)

    def play(self) -> None:
        """From the first request to some seconds after servers were replaced."""
        whole = tuple(Endpoint(name) for name in self._names)
        for i in range(self.nodes):
            self._feed(i, EndpointListUpdate(EndpointListKind.FULL, whole))
        self._at(0.0, -1, None)
        while self._due and (due := heapq.heappop(self._due))[0] < END_AT:
            at, _, node, balancer, event = due
            if self.now < REPLACED_AT <= at:
                self._replace_servers()
            self.now = at
            if event is None:
                self._arrive()
            elif balancer is self._balancers[node]:  # else for the process before
                self._feed(node, event)

    def _at(self, when: float, node: int, event: Event | None) -> None:
        heapq.heappush(self._due, (when, next(self._order), node, self._balancers[node], event))

    def _replace_servers(self) -> None:
        cold = tuple(Endpoint(name, started_ms=REPLACED_AT) for name in self._names[-self.cold :])
        for i in range(self.nodes):
            if self.fresh:
                self._balancers[i] = self._new(i)
                self._at(
                    REPLACED_AT,
                    i,
                    EndpointListUpdate(EndpointListKind.FULL, tuple(map(Endpoint, self._names))),
                )
            told = REPLACED_AT + self._rng.random() * TOLD_MOST_MS
            self._at(told, i, EndpointListUpdate(EndpointListKind.DELTA, cold))

    def _arrive(self) -> None:
        """A request of some work at some node; from the replacement on half as many again."""
        calm = 0.9 * BEARS * self.servers / 1000.0
        self._at(self.now + self._rng.expovariate(calm * (1.5 if self.now >= REPLACED_AT else 1.0)), -1, None)
        node = min(
            int(self._rng.expovariate(4.0 / self.nodes)), self.nodes - 1
        )  # some get several times the mean
        units = max(0.02, self._rng.lognormvariate(-0.35, 0.83))
        request = next(self._ids)
        self._open[node, request] = units, 0
        self._feed(node, RequestArrived(request, 0, 2900.0, cost_hint_ms=10.0 * units))

    def _feed(self, node: int, event: Event) -> None:
        if isinstance(event, EndpointListUpdate) and event.kind is EndpointListKind.DELTA:
            self._told[node] = True
        elif isinstance(event, AttemptEnded) and event.finished:
            self._open.pop((node, event.request_id), None)
        for action in self._balancers[node].handle(event, self.now):
            self._carry_out(node, action)

    def _carry_out(self, node: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self._at(action.at_ms, node, TimerFired(action.token))
        elif isinstance(action, RejectRequest | FailRequest):
            self._open.pop((node, action.request_id), None)
        elif isinstance(action, SendAttempt):
            units, number = self._open[node, action.request_id]
            self._open[node, action.request_id] = units, number + 1
            self.sent.append(Sent(self.now, action.endpoint_id, units, self._told[node]))
            took = self._queue(action.endpoint_id, units)
            outcome = Outcome.OK if took < 2800.0 else Outcome.TIMEOUT
            ended = AttemptEnded(
                action.request_id,
                number,
                action.endpoint_id,
                outcome,
                min(took, 2850.0),
                outcome is Outcome.OK,
            )
            self._at(self.now + min(took, 2850.0), node, ended)

    def _queue(self, server: bytes, units: float) -> float:
        rate = BEARS * (self.ramp(self.now) if server in self._names[-self.cold :] else 1.0) / 1000.0
        self._busy[server] = max(self._busy[server], self.now) + units / rate
        return self._busy[server] - self.now + self._rng.expovariate(1 / 50.0)

    @staticmethod
    def ramp(now: float) -> float:
        """What a replaced server bears of what it will bear when it is warm."""
        if now < REPLACED_AT:
            return 1.0
        low = SETTINGS.initial_capacity
        return min(1.0, low + (1.0 - low) * (now - REPLACED_AT) / SETTINGS.warm_up_ms)

    def worst(self) -> float:
        """The most that a cold server got in a window, against its budget and what is put down to chance.

        Counted where more than two thirds came from nodes that knew of the start.
        """
        worst = 0.0
        for name in self._names[-self.cold :]:
            window: deque[Sent] = deque()
            for one in self.sent:
                if one.server != name or one.at < REPLACED_AT:
                    continue
                window.append(one)
                while window[0].at < one.at - SETTINGS.overload_window_ms:
                    window.popleft()
                got = sum(s.units for s in window)
                begin = max(REPLACED_AT, one.at - SETTINGS.overload_window_ms)
                budget = self.multiple * self.ramp(begin) * BEARS * SETTINGS.overload_window_ms / 1000.0
                if sum(s.units for s in window if s.told) > 2 / 3 * got:
                    worst = max(worst, got / (budget + 2.0 * math.sqrt(budget) + 2.0))
        return worst


@pytest.mark.parametrize("seed", [2, 8, 9])
@pytest.mark.parametrize(
    ("nodes", "multiple", "fresh"),
    [(8, 3.0, False), (20, 3.0, False), (30, 3.0, True), (230, 3.0, True), (30, 1.5, True)],
)
def test_the_ramp_of_cold_servers_holds_for_the_sum_of_all_nodes(
    nodes: int, multiple: float, fresh: bool, seed: int
) -> None:
    """Six of ten are replaced while half as much again comes in, whatever multiple the settings tell."""
    fleet = Fleet(nodes, multiple, seed, fresh)
    fleet.play()
    assert any(one.told for one in fleet.sent)
    assert fleet.worst() <= 1.0
