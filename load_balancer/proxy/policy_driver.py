"""Drives the policy: events in, actions out, one event at a time.

The policy decides everything and does no I/O.  The driver hands it each event with the time of the node's
clock, and hands its actions to an ActionHandler in order.  A fault of the policy or of one action is
contained: it fails the request that it concerns and no other.
"""

from __future__ import annotations

import logging
from collections import deque
from typing import Protocol

from load_balancer.actions import Action, FailRequest, RejectRequest, SendAttempt, SetTimer
from load_balancer.events import AttemptEnded, Event, RequestArrived, RequestId, TimerFired
from load_balancer.proxy.event_loop.clock import Clock
from load_balancer.proxy.event_loop.loop_iterations import LoopIterations
from load_balancer.proxy.event_loop.timer_group import TimerGroup

log = logging.getLogger(__name__)


class Policy(Protocol):
    """Makes the decisions."""

    def handle(self, event: Event, now: float, /) -> list[Action]:
        """The actions that follow from one event; now is in milliseconds on the node's clock."""


class ActionHandler(Protocol):
    """Carries out the actions of the policy."""

    def handle_action(self, action: Action) -> None:
        """Carry out one action; it may cause further events."""

    def fail_request(self, request_id: RequestId) -> None:
        """Fail a request that a fault of the policy or of an action concerns."""

    def on_events_handled(self) -> None:
        """Called when the policy has handled every event, also after a fault."""


class PolicyDriver:
    """The only caller of the policy.

    Attributes:
        policy: makes the decisions.
        is_deciding: whether an event is being handled, so that the policy may not have seen later ones yet.
    """

    def __init__(self, policy: Policy, clock: Clock, iterations: LoopIterations) -> None:
        self.policy = policy
        self.is_deciding = False
        self._clock = clock
        self._iterations = iterations
        self._events: deque[Event] = deque()
        self._timers = TimerGroup()
        self._handler: ActionHandler  # set by connect(), as the handler's parts report events to this driver

    def connect(self, handler: ActionHandler) -> None:
        """Set what carries out the actions; to be called once, before the first event."""
        self._handler = handler

    def handle_event(self, event: Event) -> None:
        """Hand an event to the policy and carry out the actions that follow.

        An action may cause further events.  These are queued until the policy has returned and its actions
        are carried out, as the policy's state is consistent only between two decisions.
        """
        self._events.append(event)
        if self.is_deciding:
            return
        self._iterations.mark_activity()
        self.is_deciding = True
        try:
            while self._events:
                self._decide(self._events.popleft())
        finally:
            self.is_deciding = False
            self._handler.on_events_handled()

    def set_timer(self, action: SetTimer) -> None:
        """Hand a TimerFired to the policy at the time that it has asked for."""
        delay_s = max(0.0, action.at_ms - self._clock.now()) / 1000.0
        self._timers.call_later(delay_s, self.handle_event, TimerFired(action.token))

    def cancel_timers(self) -> None:
        """Cancel all timers of the policy: the node has stopped."""
        self._timers.cancel_all()

    def _decide(self, event: Event) -> None:
        try:
            actions = self.policy.handle(event, self._clock.now())
        except Exception:
            log.exception("policy_failed event=%s", type(event).__name__)
            if isinstance(event, RequestArrived | AttemptEnded):
                self._handler.fail_request(event.request_id)
            return
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        try:
            self._handler.handle_action(action)
        except Exception:
            log.exception("action_failed action=%s", type(action).__name__)
            if isinstance(action, SendAttempt | RejectRequest | FailRequest):
                self._handler.fail_request(action.request_id)
