"""A simulated host for the policy that checks the four rules on every action.

It is a crude environment, not a model of any service: tests choose when and how attempts end, also in odd
orders, and ``rule_checks`` checks each action that comes back.
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
        now: the host's clock in milliseconds; tests may move it without firing timers.
        requests: every request by its number.
        endpoints: the endpoint list as the balancer was given it.
        health_checks: those asked for and not answered yet.
        polls: how often the endpoint list was polled.
        actions: all actions so far.
        unfinished: the requests that have no final answer or an attempt in flight.
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
        """Hand the balancer an event at the present time; returns its checked actions."""
        actions = self.balancer.handle(event, self.now)
        for action in actions:
            self._carry_out(action)
        self.actions.extend(actions)
        return actions

    def arrive(self, class_index: int = 0, budget_ms: float | None = None) -> int:
        """Let a request of this class arrive, by default with its full deadline; returns its number."""
        request_class = self.settings.classes[class_index]
        budget_ms = request_class.deadline_ms if budget_ms is None else budget_ms
        request = self.next_request
        self.next_request += 1
        self.requests[request] = TrackedRequest(request_class, self.now + budget_ms)
        self.unfinished.add(request)
        self.handle(RequestArrived(request, class_index, budget_ms))
        return request

    def end_attempt(self, request: int, number: int, outcome: Outcome) -> None:
        """End an attempt with this outcome at the present time; a success answers its request."""
        tracked = self.requests[request]
        attempt = tracked.attempts[number]
        attempt.outcome = outcome
        if outcome is Outcome.OK and tracked.answered_at is None:
            tracked.answered_at = self.now
        elapsed_ms = self.now - attempt.sent_at
        finished = tracked.answered_at is not None
        self.handle(AttemptEnded(request, number, attempt.endpoint.id, outcome, elapsed_ms, finished))

    def end_all(self, requests: Iterable[int], outcome: Outcome = Outcome.OK) -> None:
        """End the present attempts of these requests, but not those that are sent because of it."""
        for request in requests:
            for number in list(self.in_flight(request)):
                self.end_attempt(request, number, outcome)

    def update_endpoints(
        self, endpoints: Iterable[Endpoint], kind: EndpointListKind = EndpointListKind.FULL
    ) -> None:
        """Hand the balancer an endpoint list or a change of it."""
        rows = tuple(endpoints)
        if kind is not EndpointListKind.DELTA:
            self.endpoints = {}
        self.endpoints.update({row.id: row for row in rows})
        self.handle(EndpointListUpdate(kind, rows))

    def fail_poll(self) -> None:
        """Let a poll of the endpoint list fail."""
        self.handle(EndpointListUpdate(EndpointListKind.FAILED))

    # ---------------------------------------------------------------- time

    def advance(self, span_ms: float) -> None:
        """Let time pass: end overdue attempts, then fire due timers."""
        self.now += span_ms
        self.unfinished = {r for r in self.unfinished if not self._is_over(self.requests[r])}
        for request in sorted(self.unfinished):
            for number, attempt in enumerate(self.requests[request].attempts):
                if attempt.in_flight() and attempt.times_out_at <= self.now:
                    self.end_attempt(request, number, Outcome.TIMEOUT)
        self.fire_due_timers()
        for tracked in self.requests.values():
            self._rules.check_in_time(tracked, self.now)

    def fire_due_timers(self) -> None:
        """Fire the balancer's own timers and nothing else."""
        due = [timer for timer in self._timers if timer[0] <= self.now]
        self._timers = [timer for timer in self._timers if timer[0] > self.now]
        for _, token in due:
            self.handle(TimerFired(token))

    @staticmethod
    def _is_over(tracked: TrackedRequest) -> bool:
        return tracked.answered_at is not None and not any(a.in_flight() for a in tracked.attempts)

    # ---------------------------------------------------------------- traffic

    def serve(
        self,
        count: int,
        latency_ms: float = 20.0,
        failing: EndpointId = b"",
        outcome: Outcome = Outcome.ERROR,
    ) -> None:
        """Serve requests one after another; attempts at the failing endpoint end with the outcome."""
        for _ in range(count):
            request = self.arrive()
            self.advance(latency_ms)
            for number in self.in_flight(request):
                fails = self.requests[request].endpoint_of(number) == failing
                self.end_attempt(request, number, outcome if fails else Outcome.OK)

    def serve_evenly(self, seconds: float, per_s: int) -> list[EndpointId]:
        """Serve an even stream of requests, each answered at once; returns their endpoints."""
        endpoints = []
        for _ in range(int(seconds * per_s)):
            self.advance(1000.0 / per_s)
            request = self.arrive()
            for number in list(self.in_flight(request)):
                endpoints.append(self.requests[request].endpoint_of(number))
                self.end_attempt(request, number, Outcome.OK)
        return endpoints

    def settle(self) -> None:
        """Answer all attempts, also those that are sent as capacity becomes free, until none is in flight."""
        while attempts := self.all_in_flight():
            self.end_attempt(*attempts[0], Outcome.OK)

    # ---------------------------------------------------------------- observations

    @property
    def pending_wake_ups(self) -> int:
        """The number of timers that the balancer has requested and that have not fired."""
        return len(self._timers)

    def in_flight(self, request: int) -> Iterator[int]:
        """The attempts of a request in flight, including one that is sent during the iteration."""
        attempts = self.requests[request].attempts
        return (number for number, attempt in enumerate(attempts) if attempt.in_flight())

    def all_in_flight(self) -> list[tuple[int, int]]:
        """All attempts in flight, as request and attempt numbers."""
        return [(r, number) for r in sorted(self.unfinished) for number in self.in_flight(r)]

    def count_in_flight(self, requests: Iterable[int]) -> int:
        """The number of attempts of these requests that are in flight."""
        return sum(1 for request in requests for _ in self.in_flight(request))

    def endpoints_sent_to(self, since: int = 0) -> list[EndpointId]:
        """The endpoints that attempts were sent to, from this position of the actions on."""
        return [a.endpoint_id for a in self.actions[since:] if isinstance(a, SendAttempt)]

    def log_lines(self) -> list[str]:
        """The log events so far as text."""
        return [str(a) for a in self.actions if isinstance(a, LogEvent)]

    def log_fields(self, name: str) -> list[dict[str, LogValue]]:
        """The fields of each log event of this name, in order."""
        return [dict(a.fields) for a in self.actions if isinstance(a, LogEvent) and a.name == name]

    # ---------------------------------------------------------------- actions

    def _carry_out(self, action: Action) -> None:
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
    """A host with a full list of serving endpoints in three zones; by default for one idempotent class."""
    values: dict[str, object] = {"response_slack_ms": 20.0, "tick_ms": 5.0, "max_attempts": 4, **settings}
    host = SimulatedHost(Settings(classes=classes or (IDEMPOTENT,), **values), seed)  # type: ignore[arg-type]
    host.update_endpoints(Endpoint(bytes([i]), zone=i % 3) for i in range(endpoint_count))
    return host
