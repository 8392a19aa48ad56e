"""Tests of the priority queue, queue timeouts and tenant quotas."""

from __future__ import annotations

from load_balancer import Balancer
from load_balancer.actions import RejectRequest, SendAttempt
from load_balancer.events import (
    AttemptEnded,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    Outcome,
    RequestArrived,
)
from load_balancer.settings import Settings, Tenant
from tests.policy.overload_helpers import (
    INITIAL_LIMIT_PER_SERVER,
)
from tests.policy.sample_classes import IDEMPOTENT, NON_IDEMPOTENT
from tests.policy.simulated_host import make_host


def test_a_new_node_limits_attempts_in_flight_and_sends_the_highest_priority_first() -> None:
    host = make_host(IDEMPOTENT, NON_IDEMPOTENT, endpoint_count=4)
    for _ in range(100):
        host.receive_request(0)
    for _ in range(10):
        host.receive_request(1)
    sent = [r for r, tracked in host.requests.items() if tracked.attempts]
    assert len(sent) <= INITIAL_LIMIT_PER_SERVER * 4 + 1
    action_count = len(host.actions)
    for request in sent[:10]:
        host.end_attempt(request, 0, Outcome.OK)
    next_sent = [a.request_id for a in host.actions[action_count:] if isinstance(a, SendAttempt)]
    assert next_sent
    assert all(host.requests[r].request_class is NON_IDEMPOTENT for r in next_sent[:10])
    for _ in range(60):
        host.advance(20)
    assert any(isinstance(a, RejectRequest) for a in host.actions)


def test_a_queued_request_is_rejected_after_a_twentieth_of_its_latency_objective() -> None:
    """A request that queued for longer would be sent before newer requests and yet be answered too late."""
    host = make_host(endpoint_count=4)
    requests = [host.receive_request() for _ in range(100)]
    for _ in range(4):
        host.advance(0.0125 * IDEMPOTENT.latency_objective_ms)
    rejected = {a.request_id for a in host.actions if isinstance(a, RejectRequest)}
    unsent = {r for r in requests if not host.requests[r].attempts}
    assert len(unsent) > 50 and rejected == unsent


def test_requests_beyond_a_tenants_quota_queue_behind_the_others() -> None:
    tenants = (Tenant("a", 0.5, 10.0), Tenant("b", 0.5, 10.0))
    balancer = Balancer(Settings(classes=(IDEMPOTENT,), tenants=tenants, over_quota_weight=0.1), 5)
    balancer.handle(EndpointListUpdate(EndpointListKind.FULL, (Endpoint(b"x"),)), 0.0)
    for request in range(40):
        balancer.handle(RequestArrived(request, 0, 3000.0, tenant=0), 1.0)
    balancer.handle(RequestArrived(99, 0, 3000.0, tenant=1), 2.0)
    sent: list[int] = []
    for request in range(6):
        actions = balancer.handle(AttemptEnded(request, 0, b"x", Outcome.OK, 1.0, True), 2.0)
        sent += [a.request_id for a in actions if isinstance(a, SendAttempt)]
    # First the rest of the ten requests within the quota of the first tenant, then the request of the other
    # tenant, then a request beyond the quota.
    assert sent == [6, 7, 8, 9, 99, 10]
