"""Outliers: endpoints that fail where their peers do not are skipped, kept from a class or ejected."""

import math

from load_balancer.actions import CheckHealth, CloseIdleConnections
from load_balancer.events import EndpointId, HealthCheckEnded, Outcome
from load_balancer.policy.subset import EndpointSubset
from load_balancer.settings import Idempotency
from load_balancer.state.context import NodeContext
from load_balancer.state.records import ClassRecord, EndpointRecord
from load_balancer.state.timer_queue import TimerKind

# Failures, always against peers.
FAILURE_STEP = 0.3  # two failures in a row cross FAILURE_RATE_MIN, one never does
MALFORMED_STEP = 0.14  # any server sends a malformed response now and then: four in a row cross it, not three
FAILURE_RATE_MIN = 0.45
FAILURE_VS_PEERS = 2.0  # and it must fail at twice the peers' rate, so that a shared cause ejects nobody
FAILURE_CHANCE = 0.001  # a run of failures of a class that peers' usual rate brings this often opens nothing
USUAL_STEP = 0.05  # that rate spans about twenty answers of each endpoint
RECOVERED_RATE = 0.05  # with a failure rate below this an endpoint starts again with the shortest pause
EJECTED_MAX = 0.34  # part of the fleet that may be out at once
CLASS_OPEN_MAX = 0.5  # and that may be out for one class: these go on serving others, so no capacity is lost
# Pauses come in warm-up times, as what broke a server mostly restarts it; but where servers warm up in a
# second, what ails one still lasts for many answers: one that failed a class was tried every second.
RECOVERY_OBJECTIVES = 4.0
PAUSE_FIRST = 0.2  # the first pause, as a part of that; doubles up to PAUSE_MAX
PAUSE_MAX = 1.0
PAUSE_DOUBLINGS = 10  # more would exceed it by far


def can_spare(out: int, count: int, most: float = EJECTED_MAX) -> bool:
    """Whether one more of so many endpoints may be left out beside those that are."""
    return out + 1 <= max(1.0, most * count)


def admits_class(record: ClassRecord, now: float) -> bool:
    """Whether the circuit breaker lets a class through: when closed, or for one trial when half-open."""
    return now >= record.open_until and not (record.half_open and record.in_flight)


def is_silent(record: EndpointRecord, timeout: float, now: float) -> bool:
    """Whether the attempts at an endpoint are overdue; several in flight count before they end."""
    if not record.in_flight:
        return False
    since = max(next(iter(record.in_flight.values())), record.last_response_at)
    return now - since > timeout / math.sqrt(len(record.in_flight))


class CircuitBreakers:
    """The circuit breakers of each class at each endpoint."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def record_success(self, record: ClassRecord) -> None:
        """A served attempt closes the breaker."""
        record.served, record.half_open = True, False
        record.failure_rate -= FAILURE_STEP * record.failure_rate
        record.usual_failure_rate -= USUAL_STEP * record.usual_failure_rate
        if record.failure_rate < RECOVERED_RATE:
            record.consecutive_openings = 0

    def record_error(self, record: EndpointRecord, class_index: int) -> bool:
        """Whether an error counts against its class alone, at an endpoint that serves others.

        Otherwise the endpoint comes back after each good trial with another class, and every time the class
        that it fails pays with two more requests.  An error may come from a tier behind, so where peers fail
        now and then it takes a longer run: with one request in fifteen lost further in, two errors in a row
        kept healthy endpoints out three times in 25 s, two of five at once.
        """
        class_record, now = record.classes[class_index], self._context.now
        if now < class_record.open_until:
            return True  # sent before it opened: the class pays for that already
        rate = class_record.failure_rate + FAILURE_STEP * (1.0 - class_record.failure_rate)
        class_record.failure_rate = rate
        others = (c for c in record.classes if c is not class_record)
        if not any(c.served and c.failure_rate < FAILURE_STEP for c in others):
            return False
        records = self._context.endpoints.drawable
        peers = [r.classes[class_index] for r in records if r is not record]
        admitting = [c for c in peers if admits_class(c, now)]
        peer_rate = sum(c.failure_rate for c in admitting) / len(peers) if peers else 1.0
        usual = sum(c.usual_failure_rate for c in admitting) / len(admitting) if admitting else 0.0
        if class_record.half_open or (
            rate >= max(FAILURE_RATE_MIN, _rate_beyond_chance(usual))
            and rate >= FAILURE_VS_PEERS * peer_rate
            and can_spare(len(peers) - len(admitting), len(records), CLASS_OPEN_MAX)
        ):
            self._open(record, class_index, peer_rate)
        return True

    def _open(self, record: EndpointRecord, class_index: int, peer_rate: float) -> None:
        request_class, class_record = self._context.settings.classes[class_index], record.classes[class_index]
        unsafe = request_class.idempotency is Idempotency.NON_IDEMPOTENT
        # Where a failed trial is a request lost for good, trials are far between from the start.
        pause = _pause(self._context, PAUSE_DOUBLINGS if unsafe else class_record.consecutive_openings)
        name, span = request_class.name, round(pause)
        rates = {"failure_rate": class_record.failure_rate, "peer_failure_rate": peer_rate}
        self._context.log(
            "circuit_breaker_opened", endpoint=record.endpoint.id, class_=name, pause_ms=span, **rates
        )
        class_record.open_until, class_record.half_open = self._context.now + pause, True
        class_record.failure_rate = FAILURE_STEP
        class_record.consecutive_openings += 1


class OutlierDetector:
    """Ejects endpoints, at most a part of the fleet, for longer each time, and readmits them on trial."""

    def __init__(self, context: NodeContext, subset: EndpointSubset) -> None:
        self._context = context
        self._subset = subset

    def record_success(self, record: EndpointRecord) -> None:
        """A served attempt ends a trial."""
        record.failure_rate -= FAILURE_STEP * record.failure_rate
        if record.on_trial:
            record.on_trial = False
            self._context.log("endpoint_readmitted", endpoint=record.endpoint.id)
        elif not record.ejected and record.failure_rate < RECOVERED_RATE:
            record.consecutive_ejections = 0

    def record_failure(self, record: EndpointRecord, outcome: Outcome) -> None:
        """A failure may eject its endpoint, if peers do not fail alike."""
        step = MALFORMED_STEP if outcome is Outcome.MALFORMED_RESPONSE else FAILURE_STEP
        rate = record.failure_rate = record.failure_rate + step * (1.0 - record.failure_rate)
        if record.ejected:
            return
        records = self._context.endpoints.drawable
        peers = [r for r in records if r is not record]
        peer_rate = sum(r.failure_rate for r in peers if not r.ejected) / len(peers) if peers else 1.0
        if record.on_trial or (
            rate >= FAILURE_RATE_MIN
            and rate >= FAILURE_VS_PEERS * peer_rate
            and can_spare(sum(1 for r in records if r.ejected), len(records))
        ):
            record.ejected, record.on_trial = True, False
            rates = {"failure_rate": rate, "peer_failure_rate": peer_rate}
            name = record.endpoint.id
            self._context.log("endpoint_ejected", endpoint=name, outcome=outcome.value, **rates)
            # Idle connections may lead to a dead process; a fresh one proves by failing that nothing ran.
            self._context.actions.append(CloseIdleConnections(record.endpoint.id))
            self._schedule_readmission(record)

    def cool_down(self, record: EndpointRecord, span: float) -> None:
        """Skip an endpoint for a while, unless too many that would take its requests are out already.

        Where crossing zones has a cost those are the own zone's, so that no requests go across.
        """
        now, records = self._context.now, self._context.endpoints.drawable
        peers = [records[i] for i in self._subset.prefer_local(list(range(len(records))))]
        if can_spare(sum(1 for r in peers if r.ejected or r.cooldown_until > now), len(peers)):
            record.cooldown_until = now + span

    def _schedule_readmission(self, record: EndpointRecord) -> None:
        """Have an ejected endpoint tried again, later each time."""
        at = self._context.now + _pause(self._context, record.consecutive_ejections)
        record.consecutive_ejections += 1
        self._context.schedule(at, TimerKind.READMISSION, endpoint_id=record.endpoint.id)

    def on_readmission_timer(self, endpoint_id: EndpointId) -> None:
        """Check an ejected endpoint's health, or put it on trial where that is not allowed."""
        record = self._context.endpoints.by_id.get(endpoint_id)
        if record is None or not record.ejected:
            return  # it has gone or restarted meanwhile
        if self._context.settings.health_checks_allowed and record.listed:
            self._context.actions.append(CheckHealth(endpoint_id))
        else:
            _put_on_trial(record)

    def on_health_check(self, event: HealthCheckEnded) -> None:
        """Put an endpoint that is well on trial; check another again."""
        record = self._context.endpoints.by_id.get(event.endpoint_id)
        if record is None or not record.ejected:
            return  # it has gone or restarted meanwhile
        if event.outcome is Outcome.OK:
            _put_on_trial(record)
        else:
            # Health checks are cheap: go on at a steady pace.
            record.consecutive_ejections = min(record.consecutive_ejections, 1)
            self._schedule_readmission(record)


def _pause(context: NodeContext, repetitions: int) -> float:
    """How long what has failed so often before is kept out, in milliseconds with jitter."""
    part = min(PAUSE_MAX, PAUSE_FIRST * 2.0 ** min(repetitions, PAUSE_DOUBLINGS))
    unit = max(context.settings.warm_up_ms or 10_000.0, RECOVERY_OBJECTIVES * context.objective_ms)
    return part * unit * (0.75 + 0.5 * context.rng.random())


def _put_on_trial(record: EndpointRecord) -> None:
    record.ejected, record.on_trial, record.failure_rate = False, True, FAILURE_STEP


def _rate_beyond_chance(usual: float) -> float:
    """What an average by FAILURE_STEP reaches in a run of failures that is no chance at this usual rate."""
    run = math.log(FAILURE_CHANCE) / math.log(usual) if usual > 0.0 else 0.0
    return 1.0 - math.pow(1.0 - FAILURE_STEP, run)
