"""The typed settings of one node, and the error for an invalid setting.

Durations are in milliseconds, rates in units per second and capacities in fractions of a warm server's
capacity, unless the description of a field says otherwise.  A warm server is a server whose warm-up time has
passed.  Only ``load_balancer.settings_format`` refers to the names that the settings have in a configuration
file or in the simulator's protocol.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

DEFAULT_PRIORITY_WEIGHT = 1.0
DEFAULT_OVER_QUOTA_WEIGHT = 1.0
DEFAULT_MAX_POLL_INTERVAL_MS = 10_000.0
DEFAULT_INITIAL_CAPACITY = 0.3
DEFAULT_OVERLOAD_MULTIPLE = 3.0
DEFAULT_OVERLOAD_WINDOW_MS = 1000.0
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_TICK_MS = 1.0

MIN_DURATION_MS = 1e-6
"""The minimum value of a duration that must not be zero."""


class SettingsError(ValueError):
    """A setting is missing, cannot be read or is out of its range.

    Attributes:
        key: the name of the setting: the field of a settings type, or the documented path from which the
            setting was read.
        problem: the description of the problem, including the value if there is one.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key} {problem}")
        self.key = key
        self.problem = problem


class Idempotency(Enum):
    """The effect of a second execution of a request."""

    IDEMPOTENT = "safe"
    """A second execution has no further effect: the request may be repeated without conditions."""

    KEYED = "keyed"
    """A second execution has no further effect while the servers remember the idempotency key."""

    NON_IDEMPOTENT = "unsafe"
    """A second execution does harm: the request must not be executed twice."""


class DeduplicationScope(Enum):
    """The set of servers that share the idempotency keys they have seen."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency objective, deadline, priority and idempotency.

    Attributes:
        name: the name by which requests refer to the class.
        latency_objective_ms: the time within which an answer has its full value.
        deadline_ms: the time for which a client waits for an answer.
        priority_weight: the value of an answer within the objective.
        late_weight: the fraction of this value that an answer after the objective has.
        idempotency: the effect of a second execution.
        deduplication_scope: the servers that discard a repetition of the same idempotency key.
        deduplication_window_ms: the time for which servers remember an idempotency key, counted from the
            first attempt that may have been executed.
        streaming: whether responses are forwarded while they arrive.
        latency_objective_stretch: the factor by which the work of a request is multiplied to get the time
            that is added to the objective for this request.
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
        _check_range(self, MIN_DURATION_MS, "latency_objective_ms", "deadline_ms")
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
        name: the name by which requests refer to the tenant.
        fraction: the tenant's share of the capacity.
        quota_per_s: the tenant's quota in requests per second, over all nodes of the first tier.
    """

    name: str
    fraction: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings that a node starts with.

    Attributes:
        classes: the classes of requests; events refer to a class by its position.
        tenants: the tenants; events refer to a tenant by its position.
        node_count: the number of nodes of this tier.
        node_index: this node's position among the nodes of this tier.
        tier_index: the number of the tier that this node forwards to; the outermost tier has the number 0.
        tier_count: the number of tiers.
        zone: this node's zone.
        zone_count: the number of zones.
        max_attempts: the maximum number of attempts of one request.
        hedging_allowed: whether a second attempt may start while the first is in flight.
        cancel_allowed: whether an attempt may be cancelled.
        health_checks_allowed: whether the node may send health checks to endpoints.
        retry_after_allowed: whether a rejection may carry a Retry-After.
        max_retry_after_ms: the longest Retry-After that clients comply with.
        value_grows_with_work: whether the value of an answer is proportional to the work of its request.  If
            it is not, the priority of a request is divided by its work.
        over_quota_weight: the factor by which the priority of a request beyond its tenant's quota is
            multiplied.
        poll_endpoint_list: whether the node polls for the endpoint list; otherwise changes are pushed.
        max_poll_interval_ms: the longest time between two polls.
        use_endpoint_weights: whether the weights in the endpoint list are meaningful.
        propagates_deadline: whether a request to the next tier carries the time left until its deadline.
        response_slack_ms: the time after its deadline within which a final answer still counts.
        drain_grace_ms: the time after the node was notified of a drain within which an attempt may still be
            sent.
        initial_capacity: the capacity of a server that has just started, as a fraction of its full capacity.
        warm_up_ms: the longest time until a started server has its full capacity.
        overload_multiple: the load above which a server that is warming up fails, as a multiple of its
            capacity.
        overload_window_ms: the time over which this load is measured.
        connect_timeout_ms: the longest time that establishing a connection may take.
        tick_ms: the shortest time between two batches of events from the host.
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
    value_grows_with_work: bool = False
    over_quota_weight: float = DEFAULT_OVER_QUOTA_WEIGHT
    poll_endpoint_list: bool = False
    max_poll_interval_ms: float = DEFAULT_MAX_POLL_INTERVAL_MS
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
        _check_range(self, MIN_DURATION_MS, "max_poll_interval_ms")


def _check_range(values: object, minimum: float, *names: str) -> None:
    for name in names:
        value = getattr(values, name)
        if not minimum <= value < math.inf:
            raise SettingsError(name, f"is out of range: {value}")
