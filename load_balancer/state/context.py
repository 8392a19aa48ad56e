"""What the parts of one node's policy share: settings, time, randomness, records, timers and actions."""

from __future__ import annotations

import itertools
import random

from load_balancer.actions import Action, LogEvent, LogValue
from load_balancer.events import EndpointId, RequestId
from load_balancer.settings import Settings
from load_balancer.state.endpoint_records import EndpointTable
from load_balancer.state.request_records import RequestTable
from load_balancer.state.timer_queue import Timer, TimerKind, TimerQueue


class NodeContext:
    """What the parts of one policy share; decides nothing.

    Attributes:
        settings: the node's settings.
        rng: the one source of randomness.
        now: the time of the event that is being handled.
        objective_ms: the shortest latency objective of any class, the unit of most durations.
        endpoints: the records of endpoints.
        requests: the records of requests and attempts.
        sequence: numbers requests, timers and wake-ups in one order.
        timers: the pending timers.
        actions: the actions that follow from the event so far.
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
        """Start to handle an event."""
        self.now = now
        self.actions = []

    def end_event(self) -> list[Action]:
        """The actions that follow from the event, and the next wake-up if one is needed."""
        wake_up = self.timers.wake_up()
        if wake_up is not None:
            self.actions.append(wake_up)
        return self.actions

    def schedule(
        self, at: float, kind: TimerKind, request_id: RequestId = 0, endpoint_id: EndpointId = b""
    ) -> None:
        """Schedule a timer for this time."""
        self.timers.schedule(at, Timer(kind, request_id, endpoint_id))

    def log(self, name: str, **fields: LogValue) -> None:
        """Add a log line; the name of a field that is a keyword of Python takes an underscore at its end."""
        self.actions.append(LogEvent(name, tuple((key.rstrip("_"), v) for key, v in fields.items())))
