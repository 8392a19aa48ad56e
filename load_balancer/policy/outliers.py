"""Outlier detection, which skips or ejects endpoints that fail more often than their peers."""

import math

from load_balancer.actions import CheckHealth, CloseIdleConnections
from load_balancer.events import EndpointId, HealthCheckEnded, Outcome
from load_balancer.policy.failure_detection import FAILURES, can_exclude, draw_pause_ms
from load_balancer.policy.subset import EndpointSubset
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import EndpointRecord, OutlierState
from load_balancer.state.timer_queue import TimerKind


def is_unresponsive(record: EndpointRecord, timeout_ms: float, now: float) -> bool:
    """Return whether an endpoint has attempts in flight and has not responded for too long.

    The time is measured from its last response, or from the start of its oldest attempt in flight if that
    is later.  The more attempts are in flight, the sooner the endpoint counts as unresponsive.

    Args:
        record: the record of the endpoint.
        timeout_ms: the time after which the endpoint counts as unresponsive if one attempt is in flight.
        now: the current time in milliseconds.
    """
    if not record.in_flight:
        return False
    since = max(next(iter(record.in_flight.values())), record.last_response_at)
    return now - since > timeout_ms / math.sqrt(len(record.in_flight))


class OutlierDetector:
    """Ejects outliers and readmits them on trial.

    At most a fraction of the endpoints is ejected at once, and each consecutive ejection of an endpoint lasts
    longer.  Only this class and ``EndpointRecord.restart`` change the outlier states of endpoints.
    """

    def __init__(self, context: NodeContext, subset: EndpointSubset) -> None:
        self._context = context
        self._subset = subset

    def record_success(self, record: EndpointRecord) -> None:
        """Record a served attempt, which ends a trial of its endpoint."""
        outlier = record.outlier
        outlier.failure_rate -= FAILURES.smoothing_factor * outlier.failure_rate
        if outlier.on_trial:
            outlier.on_trial = False
            self._context.log("endpoint_readmitted", endpoint=record.endpoint.id)
        elif not outlier.ejected and outlier.failure_rate < FAILURES.recovered_rate:
            outlier.consecutive_ejections = 0

    def record_failure(self, record: EndpointRecord, outcome: Outcome) -> None:
        """Record a failure, which may eject its endpoint unless the other endpoints fail as well.

        A failure of an endpoint on trial always ejects it.
        """
        outlier = record.outlier
        malformed = outcome is Outcome.MALFORMED_RESPONSE
        factor = FAILURES.malformed_smoothing_factor if malformed else FAILURES.smoothing_factor
        outlier.failure_rate += factor * (1.0 - outlier.failure_rate)
        if outlier.ejected:
            return
        peer_rate = self._peer_failure_rate(record)
        if outlier.on_trial or self._may_eject(outlier, peer_rate):
            self._eject(record, outcome, peer_rate)

    def cool_down(self, record: EndpointRecord, duration_ms: float) -> None:
        """Skip an endpoint for this duration."""
        record.outlier.cooldown_until = self._context.now + duration_ms

    def cool_down_if_replaceable(self, record: EndpointRecord, duration_ms: float) -> None:
        """Skip an endpoint for this duration, unless too many possible replacements are already excluded.

        The possible replacements are the endpoints that the subset prefers.  If attempts in other zones have
        a cost, these are endpoints of the node's own zone.  Skipping an endpoint then does not cause attempts
        in other zones.
        """
        now, records = self._context.now, self._context.endpoints.selectable
        local = [records[i].outlier for i in self._subset.prefer_local(list(range(len(records))))]
        excluded = sum(1 for o in local if o.ejected or o.cooldown_until > now)
        if can_exclude(excluded, len(local), FAILURES.max_ejected_fraction):
            self.cool_down(record, duration_ms)

    def on_readmission_timer(self, endpoint_id: EndpointId) -> None:
        """Start a health check of an ejected endpoint, or put it on trial if checks are not allowed."""
        record = self._context.endpoints.by_id.get(endpoint_id)
        if record is None or not record.outlier.ejected:
            return  # the endpoint has been removed or has restarted in the meantime
        if self._context.settings.health_checks_allowed and record.listed:
            self._context.actions.append(CheckHealth(endpoint_id))
        else:
            _put_on_trial(record.outlier)

    def on_health_check(self, event: HealthCheckEnded) -> None:
        """Put an endpoint on trial if it passed its health check, else schedule the next health check."""
        record = self._context.endpoints.by_id.get(event.endpoint_id)
        if record is None or not record.outlier.ejected:
            return  # the endpoint has been removed or has restarted in the meantime
        if event.outcome is Outcome.OK:
            _put_on_trial(record.outlier)
        else:
            # Health checks are cheap, so the interval between them does not grow.
            record.outlier.consecutive_ejections = min(record.outlier.consecutive_ejections, 1)
            self._schedule_readmission(record)

    def _peer_failure_rate(self, record: EndpointRecord) -> float:
        peers = [r.outlier for r in self._context.endpoints.selectable if r is not record]
        return sum(o.failure_rate for o in peers if not o.ejected) / len(peers) if peers else 1.0

    def _may_eject(self, outlier: OutlierState, peer_rate: float) -> bool:
        records = self._context.endpoints.selectable
        return (
            outlier.failure_rate >= FAILURES.min_rate
            and outlier.failure_rate >= FAILURES.min_peer_multiple * peer_rate
            and can_exclude(
                sum(1 for r in records if r.outlier.ejected), len(records), FAILURES.max_ejected_fraction
            )
        )

    def _eject(self, record: EndpointRecord, outcome: Outcome, peer_rate: float) -> None:
        outlier, endpoint_id = record.outlier, record.endpoint.id
        outlier.ejected = True
        outlier.on_trial = False
        self._context.log(
            "endpoint_ejected",
            endpoint=endpoint_id,
            outcome=outcome.value,
            failure_rate=outlier.failure_rate,
            peer_failure_rate=peer_rate,
        )
        # Idle connections may lead to a process that has ended.  An attempt on a new connection is safer: if
        # the connection cannot be established, the attempt has certainly not been executed.
        self._context.actions.append(CloseIdleConnections(endpoint_id))
        self._schedule_readmission(record)

    def _schedule_readmission(self, record: EndpointRecord) -> None:
        """Schedule the readmission of an ejected endpoint, after a longer pause each time."""
        outlier = record.outlier
        at = self._context.now + draw_pause_ms(self._context, outlier.consecutive_ejections)
        outlier.consecutive_ejections += 1
        self._context.schedule(at, TimerKind.READMISSION, endpoint_id=record.endpoint.id)


def _put_on_trial(outlier: OutlierState) -> None:
    outlier.ejected = False
    outlier.on_trial = True
    outlier.failure_rate = FAILURES.smoothing_factor
