"""Passes events to the policy one at a time, and passes its actions to an ActionHandler.

The policy makes all decisions and does no I/O.  The driver passes each event with the time of the node's
clock to the policy, and passes the resulting actions to the ActionHandler in order.  If the policy or an
action raises an exception, only the request of that event or action fails.
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
    """Decides which actions follow from events."""

    def handle(self, event: Event, now: float, /) -> list[Action]:
        """Return the actions that follow from one event; now is in milliseconds on the node's clock."""


class ActionHandler(Protocol):
    """Carries out the actions of the policy."""

    def handle_action(self, action: Action) -> None:
        """Carry out one action, which may cause further events."""

    def fail_request(self, request_id: RequestId) -> None:
        """Fail a request because handling one of its events or actions raised an exception."""

    def on_events_handled(self) -> None:
        """Clean up after all queued events have been handled, even if handling one raised an exception."""


class PolicyDriver:
    """The only caller of the policy.

    Attributes:
        policy: makes the decisions.
        is_deciding: whether an event is being handled; events that are reported meanwhile are queued, so the
            policy may not have seen them yet.
    """

    def __init__(self, policy: Policy, clock: Clock, iterations: LoopIterations) -> None:
        self.policy = policy
        self.is_deciding = False
        self._clock = clock
        self._iterations = iterations
        self._events: deque[Event] = deque()
        self._timers = TimerGroup()
        # Set by connect() and not here, because the parts of the handler are created with a reference to this
        # driver.
        self._handler: ActionHandler

    def connect(self, handler: ActionHandler) -> None:
        """Set the handler that carries out the actions; call this method once, before the first event."""
        self._handler = handler

    def handle_event(self, event: Event) -> None:
        """Pass an event to the policy and carry out the resulting actions.

        An action may cause further events.  These are queued until the policy has returned and its actions
        have been carried out, because the policy's state is consistent only between two decisions.
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
        """Pass a TimerFired event to the policy at the time that the action states."""
        delay_s = max(0.0, action.at_ms - self._clock.now()) / 1000.0
        self._timers.call_later(delay_s, self.handle_event, TimerFired(action.token))

    def cancel_timers(self) -> None:
        """Cancel all timers of the policy, because the node has stopped."""
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
