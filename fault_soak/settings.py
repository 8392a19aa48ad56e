"""The typed settings of a deployment.

Durations are in milliseconds, rates in units a second and capacities in fractions of a warm server. Only
``fault_soak.serialization`` refers to the names that the settings have in a configuration file.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a second execution of a request would do."""

    IDEMPOTENT = "safe"
    """Nothing: the request may be repeated freely."""

    KEYED = "keyed"
    """Nothing while the servers remember its idempotency key."""

    NON_IDEMPOTENT = "unsafe"
    """Harm: the request must not run twice."""


class DeduplicationScope(Enum):
    """The servers that share their memory of idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListDelivery(Enum):
    """How nodes get changes of the endpoint list."""

    PUSHED = "pushed"
    POLLED = "on_request"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests.

    Attributes:
        name: the class as requests name it.
        idempotency: what a second execution would do.
        latency_objective_ms: an answer within this time has its full value.
        deadline_ms: how long a client waits for an answer.
        priority_weight: the value of an answer within the objective.
        deduplication_scope: the servers that discard a repeat of the same key; None for a class without keys.
        deduplication_window_ms: how long they remember a key; without meaning for a class without keys.
    """

    name: str
    idempotency: Idempotency
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    deduplication_scope: DeduplicationScope | None = None
    deduplication_window_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Guarantees:
    """What servers and clients of the deployment are guaranteed, and what servers endure.

    Attributes:
        response_slack_ms: how long after its deadline a final answer still counts.
        warm_up_ms: the longest time until a started server has its full capacity.
        overload_multiple: a server that warms up fails when sent more than this multiple of its capacity.
        poll_within_ms: the longest time between two polls of the endpoint list.
        overload_window_ms: the time over which the load of a server that warms up is measured.
        initial_capacity: the capacity of a server that has just started.
        drain_grace_ms: how long after the notification of a drain an attempt may still be sent.
    """

    response_slack_ms: float
    warm_up_ms: float
    overload_multiple: float
    poll_within_ms: float
    overload_window_ms: float
    initial_capacity: float
    drain_grace_ms: float


@dataclass(frozen=True, slots=True)
class PolicyLimits:
    """What a node may do with a request and with its connections.

    Attributes:
        cancel_allowed: an attempt may be cancelled.
        idle_timeout_ms: how long servers keep an idle connection.
        connect_timeout_ms: how long a connection may take to be established.
        max_retry_after_ms: the longest Retry-After that clients observe.
        hedging_allowed: a second attempt may start while the first is in flight.
        health_checks_allowed: endpoints may be health-checked.
        retry_after_allowed: a rejection carries a Retry-After.
        max_attempts: attempts that one request may have.
    """

    cancel_allowed: bool
    idle_timeout_ms: float
    connect_timeout_ms: float
    max_retry_after_ms: float
    hedging_allowed: bool
    health_checks_allowed: bool
    retry_after_allowed: bool
    max_attempts: int


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant: its share of the capacity and its quota in requests per second."""

    name: str
    fraction: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one node.

    Attributes:
        zones: the names of the zones.
        node_count: nodes of this tier.
        clients_mark_retries: clients mark a request that they send again.
        guarantees: what servers and clients are guaranteed.
        tiers: the names of the tiers.
        zone_index: the position of the node's zone.
        machine_types: the machine types of servers.
        node_index: the node's position among the nodes of its tier.
        limits: what the node may do.
        classes: the classes of requests.
        list_delivery: how the node gets changes of the endpoint list.
        tenants: the tenants.
        tick_ms: the shortest time between two batches of events.
        weights: whether the weights in the endpoint list are meaningful.
    """

    zones: tuple[str, ...]
    node_count: int
    clients_mark_retries: bool
    guarantees: Guarantees
    tiers: tuple[str, ...]
    zone_index: int
    machine_types: tuple[str, ...]
    node_index: int
    limits: PolicyLimits
    classes: tuple[RequestClass, ...]
    list_delivery: ListDelivery
    tenants: tuple[Tenant, ...]
    tick_ms: float
    weights: str
