"""The typed settings of one node, and the errors that name a setting at fault.

Durations are in milliseconds, rates in units a second and capacities in fractions of a warm server, unless a
field says otherwise.  Only ``load_balancer.settings_format`` refers to the names that the settings have in a
configuration file or on the simulator's wire.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

DEFAULT_PRIORITY_WEIGHT = 1.0
DEFAULT_OVER_QUOTA_WEIGHT = 1.0
DEFAULT_POLL_WITHIN_MS = 10_000.0
DEFAULT_INITIAL_CAPACITY = 0.3
DEFAULT_OVERLOAD_MULTIPLE = 3.0
DEFAULT_OVERLOAD_WINDOW_MS = 1000.0
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_TICK_MS = 1.0

SMALLEST_DURATION_MS = 1e-6
"""The least value of a duration that must not be zero."""


class SettingsError(ValueError):
    """A setting is missing, cannot be read or is out of its range.

    Attributes:
        key: the setting's name: a field of the settings types, or the documented path where it was read.
        problem: what is wrong with it, including its value.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key} {problem}")
        self.key = key
        self.problem = problem


class Idempotency(Enum):
    """What a second execution of a request would do."""

    IDEMPOTENT = "safe"
    """It would do nothing: the request may be repeated freely."""

    KEYED = "keyed"
    """It would do nothing while the servers remember the request's idempotency key."""

    NON_IDEMPOTENT = "unsafe"
    """It would do harm: the request must not run twice."""


class DeduplicationScope(Enum):
    """The servers that share their memory of idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency objective, deadline, priority and idempotency.

    Attributes:
        name: the class as requests name it.
        latency_objective_ms: an answer within this time has its full value.
        deadline_ms: how long a client waits for an answer.
        priority_weight: the value of an answer within the objective.
        late_weight: the fraction of that value that a later answer has.
        idempotency: what a second execution would do.
        deduplication_scope: the servers that discard a repetition of the same key.
        deduplication_window_ms: how long they remember a key, from the first attempt that may have run.
        streaming: responses are forwarded while they arrive.
        latency_objective_stretch: the objective grows by this multiple of the request's own work.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = DEFAULT_PRIORITY_WEIGHT
    late_weight: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    streaming: bool = False
    latency_objective_stretch: float = 0.0

    def __post_init__(self) -> None:
        """Raise SettingsError for a value out of its range."""
        _check_range(self, SMALLEST_DURATION_MS, "latency_objective_ms", "deadline_ms")
        _check_range(
            self,
            0.0,
            "priority_weight",
            "late_weight",
            "deduplication_window_ms",
            "latency_objective_stretch",
        )


@dataclass(frozen=True, slots=True)
class Tenant:
    """One of the organisations whose clients share the service.

    Attributes:
        name: the tenant as requests name it.
        fraction: its share of the capacity.
        quota_per_s: its quota in requests per second, over all nodes of the first tier.
    """

    name: str
    fraction: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings that a node starts with.

    Attributes:
        classes: the classes of requests; events name them by position.
        tenants: the tenants; events name them by position.
        node_count: nodes of this tier.
        node_index: this node's position among them.
        tier_index: the tier that this node forwards to, 0 for the first.
        tier_count: the number of tiers.
        zone: this node's zone.
        zone_count: the number of zones.
        max_attempts: attempts that one request may have.
        hedging_allowed: a second attempt may start while the first is in flight.
        cancel_allowed: an attempt may be cancelled.
        health_checks_allowed: endpoints may be health-checked.
        retry_after_allowed: a rejection may carry a Retry-After.
        max_retry_after_ms: the longest Retry-After that clients observe.
        priority_by_work: the priority of a request grows with its work.
        over_quota_weight: the factor on the priority of a request beyond its tenant's quota.
        poll_endpoint_list: the node polls for the endpoint list; otherwise changes are pushed.
        poll_within_ms: the longest time between two polls.
        use_endpoint_weights: the weights in the endpoint list are meaningful.
        propagates_deadline: a request to the next tier carries the time left until its deadline.
        response_slack_ms: how long after its deadline a final answer still counts.
        drain_grace_ms: how long after the node was notified of a drain an attempt may still be sent.
        initial_capacity: the capacity of a server that has just started, as a fraction of its full one.
        warm_up_ms: the longest time until a started server has its full capacity.
        overload_multiple: a server that warms up fails when sent more than this multiple of its capacity.
        overload_window_ms: the time over which that load is measured.
        connect_timeout_ms: how long a connection may take to be established.
        tick_ms: the shortest time between two batches of events of a host.
        cross_zone_cost: the relative cost of an attempt in another zone, 0 for none.
        load_report_fields: the fields of a load report, in order.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    node_count: int = 1
    node_index: int = 0
    tier_index: int = 0
    tier_count: int = 1
    zone: int = 0
    zone_count: int = 1
    max_attempts: int = 3
    hedging_allowed: bool = True
    cancel_allowed: bool = True
    health_checks_allowed: bool = False
    retry_after_allowed: bool = True
    max_retry_after_ms: float = 1000.0
    priority_by_work: bool = False
    over_quota_weight: float = DEFAULT_OVER_QUOTA_WEIGHT
    poll_endpoint_list: bool = False
    poll_within_ms: float = DEFAULT_POLL_WITHIN_MS
    use_endpoint_weights: bool = False
    propagates_deadline: bool = True
    response_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    initial_capacity: float = DEFAULT_INITIAL_CAPACITY
    warm_up_ms: float = 10_000.0
    overload_multiple: float = DEFAULT_OVERLOAD_MULTIPLE
    overload_window_ms: float = DEFAULT_OVERLOAD_WINDOW_MS
    connect_timeout_ms: float = DEFAULT_CONNECT_TIMEOUT_MS
    tick_ms: float = DEFAULT_TICK_MS
    cross_zone_cost: float = 0.0
    load_report_fields: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        """Raise SettingsError for a value out of its range."""
        if not self.classes:
            raise SettingsError("classes", "is empty")
        _check_range(self, 1, "node_count", "tier_count", "max_attempts")
        _check_range(
            self, 0.0, "tier_index", "warm_up_ms", "initial_capacity", "overload_window_ms", "tick_ms"
        )
        _check_range(
            self, 0.0, "max_retry_after_ms", "over_quota_weight", "cross_zone_cost", "response_slack_ms"
        )
        _check_range(self, SMALLEST_DURATION_MS, "poll_within_ms")


def _check_range(values: object, minimum: float, *names: str) -> None:
    for name in names:
        value = getattr(values, name)
        if not minimum <= value < math.inf:
            raise SettingsError(name, f"is out of range: {value}")
