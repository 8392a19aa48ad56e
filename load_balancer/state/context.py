"""The context that the components of a node's policy share."""

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
    """The state that the components of one node's policy share; it makes no decisions.

    Attributes:
        settings: the node's settings.
        rng: the policy's only source of random numbers.
        now: the time of the event that is being handled, in milliseconds.
        objective_ms: the shortest latency objective of any class, the unit of most durations.
        endpoints: the records of endpoints.
        requests: the records of requests and attempts.
        sequence: the common counter that numbers requests, timers and wake-ups.
        timers: the pending timers.
        actions: the actions that the current event has caused so far.
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
        """Start handling an event: set its time, in milliseconds, and begin a new list of actions."""
        self.now = now
        self.actions = []

    def end_event(self) -> list[Action]:
        """Return the actions that the event has caused, including the next wake-up if one is needed."""
        wake_up = self.timers.wake_up()
        if wake_up is not None:
            self.actions.append(wake_up)
        return self.actions

    def schedule(
        self, at: float, kind: TimerKind, request_id: RequestId = 0, endpoint_id: EndpointId = b""
    ) -> None:
        """Schedule a timer for this time, in milliseconds."""
        self.timers.schedule(at, Timer(kind, request_id, endpoint_id))

    def log(self, name: str, **fields: LogValue) -> None:
        """Add a log line to the actions.

        Args:
            name: the name of the event.
            fields: the fields of the log line.  Underscores at the end of a field name are removed, so that
                Python keywords can be field names, for example ``class_``.
        """
        self.actions.append(LogEvent(name, tuple((key.rstrip("_"), v) for key, v in fields.items())))
