"""What the parts of one node's policy share: settings, time, randomness, records, timers and actions."""

from __future__ import annotations

import itertools
import random

from load_balancer.actions import Action, LogEvent, LogValue
from load_balancer.events import EndpointId, RequestId
from load_balancer.settings import Settings
from load_balancer.state.endpoint_records import EndpointTable
from load_balancer.state.records import RequestTable
from load_balancer.state.timer_queue import Timer, TimerKind, TimerQueue


class NodeContext:
    """The surroundings of a part of the policy; decides nothing.

    Attributes:
        settings: the node's settings.
        rng: the one source of randomness.
        now: the time of the present event.
        objective_ms: the latency objective of the most urgent class, the unit of most spans.
        endpoints: the records of endpoints.
        requests: the records of requests and attempts.
        sequence: numbers requests, timers and wake-ups in one order.
        timers: the timers that are pending.
        actions: what the present event has led to so far.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.now = 0.0
        self.objective_ms = min(c.latency_objective_ms for c in settings.classes)
        self.endpoints = EndpointTable()
        self.requests = RequestTable()
        self.sequence = itertools.count(1)
        self.timers = TimerQueue(self.sequence)
        self.actions: list[Action] = []

    def begin_event(self, now: float) -> None:
        """Start on an event."""
        self.now = now
        self.actions = []

    def end_event(self) -> list[Action]:
        """The actions that the event has led to, with the wake-up that is needed next."""
        wake_up = self.timers.wake_up()
        if wake_up is not None:
            self.actions.append(wake_up)
        return self.actions

    def schedule(
        self, at: float, kind: TimerKind, request_id: RequestId = 0, endpoint_id: EndpointId = b""
    ) -> None:
        """Have a timer fire at or after a time."""
        self.timers.schedule(at, Timer(kind, request_id, endpoint_id))

    def log(self, name: str, **fields: LogValue) -> None:
        """Add an event for the operators' log; a field that is a keyword of Python ends in an underscore."""
        self.actions.append(LogEvent(name, tuple((key.rstrip("_"), v) for key, v in fields.items())))
