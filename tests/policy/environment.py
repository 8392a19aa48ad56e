"""A simulated host for the policy that checks the four rules on every action.

It shares no code with the policy.  It is a crude environment, not a model of any service: tests choose when
and how attempts end, also in odd orders, and each action that comes back is checked:

1. every request gets one final answer, in time, and nothing is sent for it afterwards;
2. what may have run is not run again unless that is harmless, and is not called rejected if it is not;
3. nothing is sent to an endpoint that does not serve;
4. limits of the settings (attempts, hedging, cancelling, health checks) are kept.
"""

from __future__ import annotations

import gc
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from types import FunctionType, ModuleType

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
    EndpointState,
    Event,
    HealthCheckEnded,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    TimerFired,
)
from load_balancer.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from tests.policy.samples import IDEMPOTENT

NOT_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass
class TrackedAttempt:
    """An attempt as the host has seen it; times are in milliseconds."""

    endpoint: Endpoint
    sent_at: float
    times_out_at: float
    outcome: Outcome | None = None

    def in_flight(self) -> bool:
        """Whether it has not ended yet."""
        return self.outcome is None


@dataclass
class TrackedRequest:
    """A request as the host has seen it; times are in milliseconds."""

    request_class: RequestClass
    deadline: float
    answered_at: float | None = None
    attempts: list[TrackedAttempt] = field(default_factory=list)

    def possibly_executed(self) -> list[TrackedAttempt]:
        """The attempts that no outcome proves not to have run."""
        return [a for a in self.attempts if a.outcome is None or a.outcome not in NOT_EXECUTED]

    def endpoint_of(self, attempt_number: int) -> EndpointId:
        """Where this attempt was sent."""
        return self.attempts[attempt_number].endpoint.id


class SimulatedHost:
    """Hands events to a balancer, checks its actions against the rules and records them.

    Attributes:
        now: the host's clock in milliseconds; tests may move it without firing timers.
        requests: every request by its number.
        endpoints: the endpoint list as the balancer was given it.
        health_checks: those asked for and not answered yet.
        polls: how often the endpoint list was polled.
        actions: all actions so far.
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
        self._random = random.Random(seed)
        self._timers: list[tuple[float, int]] = []
        self._next_request = 1

    # ---------------------------------------------------------------- events

    def handle(self, event: Event) -> list[Action]:
        """Give the balancer an event at the present time; returns its actions, checked."""
        actions = self.balancer.handle(event, self.now)
        for action in actions:
            self._check(action)
        self.actions.extend(actions)
        return actions

    def arrive(self, class_index: int = 0, budget_ms: float | None = None) -> int:
        """A request of this class arrives, by default with its whole deadline left; returns its number."""
        request_class = self.settings.classes[class_index]
        budget_ms = request_class.deadline_ms if budget_ms is None else budget_ms
        request = self._next_request
        self._next_request += 1
        self.requests[request] = TrackedRequest(request_class, self.now + budget_ms)
        self.unfinished.add(request)
        self.handle(RequestArrived(request, class_index, budget_ms))
        return request

    def end_attempt(self, request: int, number: int, outcome: Outcome) -> None:
        """An attempt ends like this at the present time; a good response answers its request."""
        tracked = self.requests[request]
        attempt = tracked.attempts[number]
        attempt.outcome = outcome
        if outcome is Outcome.OK and tracked.answered_at is None:
            tracked.answered_at = self.now
        elapsed_ms = self.now - attempt.sent_at
        finished = tracked.answered_at is not None
        self.handle(AttemptEnded(request, number, attempt.endpoint.id, outcome, elapsed_ms, finished))

    def end_all(self, requests: Iterable[int], outcome: Outcome = Outcome.OK) -> None:
        """End what is in flight of these requests at this moment, but not what is sent because of it."""
        for request in requests:
            for number in list(self.in_flight(request)):
                self.end_attempt(request, number, outcome)

    def update_endpoints(
        self, endpoints: Iterable[Endpoint], kind: EndpointListKind = EndpointListKind.FULL
    ) -> None:
        """The balancer gets an endpoint list or a change of it."""
        rows = tuple(endpoints)
        if kind is not EndpointListKind.DELTA:
            self.endpoints = {}
        self.endpoints.update({row.id: row for row in rows})
        self.handle(EndpointListUpdate(kind, rows))

    def fail_poll(self) -> None:
        """A poll of the endpoint list fails."""
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
            latest = tracked.deadline + self.settings.response_slack_ms
            assert tracked.answered_at is not None or self.now <= latest, "rule 1: no answer in time"

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
        """Requests one after another; attempts at the failing endpoint end with the outcome."""
        for _ in range(count):
            request = self.arrive()
            self.advance(latency_ms)
            for number in self.in_flight(request):
                fails = self.requests[request].endpoint_of(number) == failing
                self.end_attempt(request, number, outcome if fails else Outcome.OK)

    def serve_evenly(self, seconds: float, per_s: int) -> list[EndpointId]:
        """An even stream of requests that are answered at once; returns the endpoints that got them."""
        endpoints = []
        for _ in range(int(seconds * per_s)):
            self.advance(1000.0 / per_s)
            request = self.arrive()
            for number in list(self.in_flight(request)):
                endpoints.append(self.requests[request].endpoint_of(number))
                self.end_attempt(request, number, Outcome.OK)
        return endpoints

    def settle(self) -> None:
        """Answer what is in flight, and what is sent as that makes room, until nothing is."""
        while attempts := self.all_in_flight():
            self.end_attempt(*attempts[0], Outcome.OK)

    # ---------------------------------------------------------------- observations

    @property
    def pending_wake_ups(self) -> int:
        """How many timers the balancer has asked for that have not fired."""
        return len(self._timers)

    def in_flight(self, request: int) -> Iterator[int]:
        """The attempts of a request in flight; one that is sent during the iteration comes up too."""
        attempts = self.requests[request].attempts
        return (number for number, attempt in enumerate(attempts) if attempt.in_flight())

    def all_in_flight(self) -> list[tuple[int, int]]:
        """All attempts in flight, as request and attempt numbers."""
        return [(r, number) for r in sorted(self.unfinished) for number in self.in_flight(r)]

    def count_in_flight(self, requests: Iterable[int]) -> int:
        """How many attempts of these requests are in flight."""
        return sum(1 for request in requests for _ in self.in_flight(request))

    def endpoints_sent_to(self, since: int = 0) -> list[EndpointId]:
        """Where attempts went, from this position of the actions on."""
        return [a.endpoint_id for a in self.actions[since:] if isinstance(a, SendAttempt)]

    def log_lines(self) -> list[str]:
        """The log events so far as text."""
        return [str(a) for a in self.actions if isinstance(a, LogEvent)]

    def log_fields(self, name: str) -> list[dict[str, LogValue]]:
        """The fields of each log event of this name, in order."""
        return [dict(a.fields) for a in self.actions if isinstance(a, LogEvent) and a.name == name]

    # ---------------------------------------------------------------- the rules

    def _check(self, action: Action) -> None:
        match action:
            case SendAttempt(request, endpoint, timeout_ms):
                self._check_send(request, endpoint, timeout_ms)
            case RejectRequest(request, _) | FailRequest(request):
                self._check_final_answer(request, isinstance(action, RejectRequest))
            case SetTimer(token, at):
                self._timers.append((at, token))
            case CancelAttempt(request, number):
                assert self.settings.cancel_allowed and number < len(self.requests[request].attempts)
            case CheckHealth(endpoint):
                assert self.settings.health_checks_allowed and endpoint in self.endpoints
                self.health_checks.append(endpoint)
            case PollEndpointList():
                self.polls += 1

    def _check_final_answer(self, request: int, rejected: bool) -> None:
        tracked = self.requests[request]
        assert tracked.answered_at is None, "rule 1: a second final answer"
        latest = tracked.deadline + self.settings.response_slack_ms
        assert self.now <= latest, "rule 1: answered too late"
        tracked.answered_at = self.now
        request_class = tracked.request_class
        if (
            rejected
            and tracked.possibly_executed()
            and request_class.idempotency is not Idempotency.IDEMPOTENT
        ):
            keyed = request_class.idempotency is Idempotency.KEYED
            assert keyed, "rule 2: rejected a non-idempotent request that may have run"
            scope = request_class.deduplication_scope
            assert scope is DeduplicationScope.ALL, "rule 2: a rejection needs the scope of all servers"

    def _check_send(self, request: int, endpoint_id: EndpointId, timeout_ms: float) -> None:
        tracked = self.requests[request]
        assert tracked.answered_at is None, "rule 1: sent for a finished request"
        assert self.now < tracked.deadline and timeout_ms >= 0.0
        assert len(tracked.attempts) < self.settings.max_attempts
        endpoint = self.endpoints.get(endpoint_id)
        assert endpoint is not None, "rule 3: sent to an unlisted endpoint"
        assert endpoint.state is EndpointState.SERVING, "rule 3: sent to a draining endpoint"
        self._check_repetition(tracked, endpoint)
        times_out_at = min(tracked.deadline, self.now + timeout_ms) if timeout_ms else tracked.deadline
        tracked.attempts.append(TrackedAttempt(endpoint, self.now, times_out_at))

    def _check_repetition(self, tracked: TrackedRequest, endpoint: Endpoint) -> None:
        others = tracked.possibly_executed()
        if not others:
            return
        request_class = tracked.request_class
        repeatable = request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        assert repeatable, "rule 2: a non-idempotent request sent twice"
        if not self.settings.hedging_allowed:
            assert not any(a.in_flight() for a in tracked.attempts), "rule 4: hedged without leave"
        if request_class.idempotency is not Idempotency.KEYED:
            return
        for other in others:
            age_ms = self.now - other.sent_at
            assert age_ms < request_class.deduplication_window_ms, "rule 2: outside the window"
            if request_class.deduplication_scope is DeduplicationScope.CELL:
                assert endpoint.cell == other.endpoint.cell, "rule 2: another cell"
            if request_class.deduplication_scope is DeduplicationScope.ZONE:
                assert endpoint.zone == other.endpoint.zone, "rule 2: another zone"

    # ---------------------------------------------------------------- random events

    def run_random_events(self, steps: int) -> None:
        """A seeded stream of everything that may legally happen, and then time to finish it all."""
        for _ in range(steps):
            self._random_event()
        for _ in range(2000):
            self.advance(10.0)

    def _random_event(self) -> None:
        choose = self._random
        kind = choose.random()
        in_flight = self.all_in_flight()
        if kind < 0.35:
            class_index = choose.randrange(len(self.settings.classes))
            self.arrive(class_index, choose.choice([None, 30.0, 400.0]))
        elif kind < 0.65 and in_flight:
            request, number = choose.choice(in_flight)
            self.end_attempt(request, number, choose.choice([*Outcome, Outcome.OK, Outcome.OK]))
        elif kind < 0.7:
            self._random_endpoint_list()
        elif kind < 0.73:
            self._abandon(choose.randrange(1, self._next_request + 1))
        elif kind < 0.76 and self.health_checks:
            outcome = choose.choice(list(Outcome))
            self.handle(HealthCheckEnded(self.health_checks.pop(), outcome, 5.0))
        else:
            self.advance(choose.choice([0.0, 5.0, 5.0, 10.0, 15.0]))

    def _abandon(self, request: int) -> None:
        tracked = self.requests.get(request)
        if tracked is not None and tracked.answered_at is None:
            tracked.answered_at = self.now
        self.handle(RequestAbandoned(request))

    def _random_endpoint_list(self) -> None:
        choose = self._random
        kind = choose.choice(list(EndpointListKind))
        if kind is EndpointListKind.FAILED:
            self.fail_poll()
            return
        rows = []
        for i in range(12):
            if choose.random() < 0.6:
                started_ms = choose.choice([0.0, self.now - 200.0])
                state = choose.choice(list(EndpointState))
                rows.append(Endpoint(bytes([i]), state, 1.0 + i % 2, 0, i % 3, i // 4, started_ms))
        self.update_endpoints(rows, kind)


def make_host(
    *classes: RequestClass, endpoint_count: int = 6, seed: int = 9, **settings: object
) -> SimulatedHost:
    """A host with a full list of serving endpoints in three zones; by default for one idempotent class."""
    values: dict[str, object] = {"response_slack_ms": 20.0, "tick_ms": 5.0, "max_attempts": 4, **settings}
    host = SimulatedHost(Settings(classes=classes or (IDEMPOTENT,), **values), seed)  # type: ignore[arg-type]
    host.update_endpoints(Endpoint(bytes([i]), zone=i % 3) for i in range(endpoint_count))
    return host


def endpoints_in_memory(balancer: Balancer) -> set[EndpointId]:
    """The ids of all endpoints that the balancer's memory still holds, wherever it keeps them."""
    seen: set[int] = set()
    found: set[EndpointId] = set()
    pending: list[object] = [balancer]
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, type | ModuleType | FunctionType):
            continue
        seen.add(id(item))
        if isinstance(item, Endpoint):
            found.add(item.id)
        pending.extend(gc.get_referents(item))
    return found
