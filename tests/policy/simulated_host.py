"""A simulated host for the policy that checks the four rules on every action.

The host does not model a real service: tests choose when and how attempts end, also in unusual orders, and
``rule_checks`` checks each action that the policy returns.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from load_balancer import Balancer
from load_balancer.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    LogEvent,
    LogValue,
    PollEndpointList,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
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
from load_balancer.settings import RequestClass, Settings
from tests.policy.rule_checks import RuleChecks
from tests.policy.sample_classes import IDEMPOTENT
from tests.policy.tracking import TrackedAttempt, TrackedRequest


class SimulatedHost:
    """Hands events to a balancer, checks its actions against the rules and records them.

    Attributes:
        now: the time of the host's clock in milliseconds; tests may advance it without firing timers.
        requests: all requests so far, by request number.
        endpoints: the endpoint list that was given to the balancer, by endpoint id.
        health_checks: the endpoints whose health checks were requested and have not ended yet.
        polls: the number of polls of the endpoint list so far.
        actions: all actions that the balancer has returned so far.
        unfinished: the numbers of the requests that had no final answer, or still had an attempt in flight,
            when ``advance`` was last called, and of all later requests.
        next_request: the number of the next request.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.now = 1000.0
        self.requests: dict[int, TrackedRequest] = {}
        self.endpoints: dict[EndpointId, Endpoint] = {}
        self.health_checks: list[EndpointId] = []
        self.polls = 0
        self.actions: list[Action] = []
        self.unfinished: set[int] = set()
        self.next_request = 1
        self._rules = RuleChecks(settings)
        self._timers: list[tuple[float, int]] = []

    # ---------------------------------------------------------------- events

    def handle(self, event: Event) -> list[Action]:
        """Pass an event to the balancer at the current time, check its actions and return them."""
        actions = self.balancer.handle(event, self.now)
        for action in actions:
            self._execute_action(action)
        self.actions.extend(actions)
        return actions

    def receive_request(self, class_index: int = 0, budget_ms: float | None = None) -> int:
        """Pass the arrival of a request to the balancer and return the number of the request.

        The default of ``budget_ms`` is the full deadline of the request class.
        """
        request_class = self.settings.classes[class_index]
        budget_ms = request_class.deadline_ms if budget_ms is None else budget_ms
        request = self.next_request
        self.next_request += 1
        self.requests[request] = TrackedRequest(request_class, self.now + budget_ms)
        self.unfinished.add(request)
        self.handle(RequestArrived(request, class_index, budget_ms))
        return request

    def end_attempt(self, request: int, number: int, outcome: Outcome) -> None:
        """End an attempt with this outcome at the current time; a successful attempt answers its request."""
        tracked = self.requests[request]
        attempt = tracked.attempts[number]
        attempt.outcome = outcome
        if outcome is Outcome.OK and tracked.answered_at is None:
            tracked.answered_at = self.now
        elapsed_ms = self.now - attempt.sent_at
        finished = tracked.answered_at is not None
        self.handle(AttemptEnded(request, number, attempt.endpoint.id, outcome, elapsed_ms, finished))

    def end_attempts(self, requests: Iterable[int], outcome: Outcome = Outcome.OK) -> None:
        """End the attempts of these requests that are in flight.

        Retries that the balancer sends when an attempt ends stay in flight.
        """
        for request in requests:
            for number in list(self.in_flight(request)):
                self.end_attempt(request, number, outcome)

    def update_endpoints(
        self, endpoints: Iterable[Endpoint], kind: EndpointListKind = EndpointListKind.FULL
    ) -> None:
        """Pass an endpoint list, or a change of the list, to the balancer."""
        rows = tuple(endpoints)
        if kind is not EndpointListKind.DELTA:
            self.endpoints = {}
        self.endpoints.update({row.id: row for row in rows})
        self.handle(EndpointListUpdate(kind, rows))

    def fail_poll(self) -> None:
        """Tell the balancer that a poll of the endpoint list has failed."""
        self.handle(EndpointListUpdate(EndpointListKind.FAILED))

    # ---------------------------------------------------------------- time

    def advance(self, span_ms: float) -> None:
        """Advance the clock, end the attempts that have timed out, and then fire the timers that are due.

        Finally check that no request is without an answer after its deadline and the response slack.
        """
        self.now += span_ms
        self.unfinished = {r for r in self.unfinished if not self._is_finished(self.requests[r])}
        for request in sorted(self.unfinished):
            for number, attempt in enumerate(self.requests[request].attempts):
                if attempt.in_flight() and attempt.times_out_at <= self.now:
                    self.end_attempt(request, number, Outcome.TIMEOUT)
        self.fire_due_timers()
        for tracked in self.requests.values():
            self._rules.check_deadline(tracked, self.now)

    def fire_due_timers(self) -> None:
        """Fire the timers of the balancer that are due, without ending any attempt."""
        due = [timer for timer in self._timers if timer[0] <= self.now]
        self._timers = [timer for timer in self._timers if timer[0] > self.now]
        for _, token in due:
            self.handle(TimerFired(token))

    @staticmethod
    def _is_finished(tracked: TrackedRequest) -> bool:
        return tracked.answered_at is not None and not any(a.in_flight() for a in tracked.attempts)

    # ---------------------------------------------------------------- traffic

    def serve(
        self,
        count: int,
        latency_ms: float = 20.0,
        failing: EndpointId = b"",
        outcome: Outcome = Outcome.ERROR,
    ) -> None:
        """Serve ``count`` requests one after another, and end their attempts after ``latency_ms``.

        Attempts at the endpoint ``failing`` end with ``outcome``, all others successfully.  A retry that is
        sent when an attempt ends is ended at once.
        """
        for _ in range(count):
            request = self.receive_request()
            self.advance(latency_ms)
            for number in self.in_flight(request):
                is_failing = self.requests[request].endpoint_of(number) == failing
                self.end_attempt(request, number, outcome if is_failing else Outcome.OK)

    def serve_at_constant_rate(self, seconds: float, per_s: int) -> list[EndpointId]:
        """Serve requests at a constant rate, answer each at once, and return the endpoint of each attempt."""
        endpoints = []
        for _ in range(int(seconds * per_s)):
            self.advance(1000.0 / per_s)
            request = self.receive_request()
            for number in list(self.in_flight(request)):
                endpoints.append(self.requests[request].endpoint_of(number))
                self.end_attempt(request, number, Outcome.OK)
        return endpoints

    def answer_all_attempts(self) -> None:
        """Answer attempts until none is in flight, including those that are sent as capacity becomes free."""
        while attempts := self.all_in_flight():
            self.end_attempt(*attempts[0], Outcome.OK)

    # ---------------------------------------------------------------- observations

    @property
    def pending_timers(self) -> int:
        """The number of timers that the balancer has set and that have not fired yet."""
        return len(self._timers)

    def in_flight(self, request: int) -> Iterator[int]:
        """Return an iterator over the numbers of a request's attempts in flight.

        The iterator includes attempts that are sent during the iteration.
        """
        attempts = self.requests[request].attempts
        return (number for number, attempt in enumerate(attempts) if attempt.in_flight())

    def all_in_flight(self) -> list[tuple[int, int]]:
        """Return all attempts in flight as pairs of request number and attempt number."""
        return [(r, number) for r in sorted(self.unfinished) for number in self.in_flight(r)]

    def count_in_flight(self, requests: Iterable[int]) -> int:
        """Return the number of attempts of these requests that are in flight."""
        return sum(1 for request in requests for _ in self.in_flight(request))

    def endpoints_sent_to(self, since: int = 0) -> list[EndpointId]:
        """Return the endpoint of each attempt sent by the actions from index ``since`` on."""
        return [a.endpoint_id for a in self.actions[since:] if isinstance(a, SendAttempt)]

    def log_lines(self) -> list[str]:
        """Return all log events so far as text."""
        return [str(a) for a in self.actions if isinstance(a, LogEvent)]

    def log_fields(self, name: str) -> list[dict[str, LogValue]]:
        """Return the fields of each log event with this name, in the order of the events."""
        return [dict(a.fields) for a in self.actions if isinstance(a, LogEvent) and a.name == name]

    # ---------------------------------------------------------------- actions

    def _execute_action(self, action: Action) -> None:
        match action:
            case SendAttempt(request, endpoint, timeout_ms):
                self._send(request, endpoint, timeout_ms)
            case RejectRequest(request, _) | FailRequest(request):
                tracked = self.requests[request]
                self._rules.check_final_answer(tracked, isinstance(action, RejectRequest), self.now)
                tracked.answered_at = self.now
            case SetTimer(token, at):
                self._timers.append((at, token))
            case CancelAttempt(request, number):
                self._rules.check_cancel(self.requests[request], number)
            case CheckHealth(endpoint):
                self._rules.check_health_check(endpoint, self.endpoints)
                self.health_checks.append(endpoint)
            case PollEndpointList():
                self.polls += 1

    def _send(self, request: int, endpoint_id: EndpointId, timeout_ms: float) -> None:
        tracked = self.requests[request]
        endpoint = self._rules.check_send(tracked, self.endpoints.get(endpoint_id), timeout_ms, self.now)
        times_out_at = min(tracked.deadline, self.now + timeout_ms) if timeout_ms else tracked.deadline
        tracked.attempts.append(TrackedAttempt(endpoint, self.now, times_out_at))


def make_host(
    *classes: RequestClass, endpoint_count: int = 6, seed: int = 9, **settings: object
) -> SimulatedHost:
    """Return a host whose balancer has a full list of serving endpoints in three zones.

    Without ``classes`` the host has one idempotent request class.
    """
    values: dict[str, object] = {"response_slack_ms": 20.0, "tick_ms": 5.0, "max_attempts": 4, **settings}
    host = SimulatedHost(Settings(classes=classes or (IDEMPOTENT,), **values), seed)  # type: ignore[arg-type]
    host.update_endpoints(Endpoint(bytes([i]), zone=i % 3) for i in range(endpoint_count))
    return host
