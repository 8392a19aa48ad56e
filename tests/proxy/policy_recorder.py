"""Records what a node's policy sees and decides, or replaces the policy."""

from __future__ import annotations

from collections.abc import Callable

from load_balancer.actions import Action, FailRequest, RejectRequest, SendAttempt
from load_balancer.events import (
    AttemptEnded,
    EndpointId,
    Event,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    RequestId,
)
from load_balancer.proxy.node import Node

Handle = Callable[[Event, float], list[Action]]
"""The signature of Policy.handle(), which returns the actions that follow from one event."""


def replace_policy(node: Node, handle: Handle) -> Handle:
    """Let a function make the decisions of the node's policy, and return the function that it replaces."""
    replaced = node.policy.handle
    node.policy.handle = handle  # type: ignore[method-assign]
    return replaced


def ignore_events(_: Event, __: float) -> list[Action]:
    """Handle an event like a policy that never returns an action."""
    return []


class PolicyRecorder:
    """Records the events that a node passes to its policy, and which requests and attempts are open.

    Attributes:
        events: all events, in order.
        open_requests: the requests that have arrived and have not ended.
        open_attempts: the attempts that the policy has started and whose end was not reported to it.
        on_attempt: called with the endpoint id of each attempt before the node starts the attempt.
    """

    def __init__(self, node: Node) -> None:
        self.events: list[Event] = []
        self.open_requests: set[RequestId] = set()
        self.open_attempts: set[tuple[RequestId, int]] = set()
        self.on_attempt: Callable[[EndpointId], None] | None = None
        self._attempt_counts: dict[RequestId, int] = {}
        self._handle = replace_policy(node, self._record)

    def _record(self, event: Event, now: float) -> list[Action]:
        self.events.append(event)
        self._record_event(event)
        actions = self._handle(event, now)
        for action in actions:
            self._record_action(action)
        return actions

    def _record_event(self, event: Event) -> None:
        match event:
            case RequestArrived():
                self.open_requests.add(event.request_id)
            case RequestAbandoned():
                self.open_requests.discard(event.request_id)
            case AttemptEnded():
                self.open_attempts.remove((event.request_id, event.attempt_number))
                if event.finished:
                    self.open_requests.discard(event.request_id)

    def _record_action(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self._record_attempt(action)
            case RejectRequest() | FailRequest():
                self.open_requests.discard(action.request_id)

    def _record_attempt(self, attempt: SendAttempt) -> None:
        number = self._attempt_counts.get(attempt.request_id, 0)
        self._attempt_counts[attempt.request_id] = number + 1
        self.open_attempts.add((attempt.request_id, number))
        if self.on_attempt is not None:
            self.on_attempt(attempt.endpoint_id)

    @property
    def nothing_open(self) -> bool:
        """Whether the end of every request and of every attempt was reported to the policy."""
        return not self.open_requests and not self.open_attempts

    @property
    def outcomes(self) -> list[Outcome]:
        """The outcomes of all attempts that have ended, in order."""
        return [event.outcome for event in self.events if isinstance(event, AttemptEnded)]

    @property
    def budgets(self) -> list[float]:
        """The budget in milliseconds of each request that has arrived, in order."""
        return [event.budget_ms for event in self.events if isinstance(event, RequestArrived)]
