"""The typed settings of a deployment.

Durations are in milliseconds, rates are per second, and capacities are fractions of the capacity of a warm
server. Only ``fault_soak.serialization`` uses the names that the settings have in a configuration file.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "safe"
    """A repeated execution has no effect, so the request may be repeated freely."""

    KEYED = "keyed"
    """A repeated execution has no effect while servers remember the idempotency key of the request."""

    NON_IDEMPOTENT = "unsafe"
    """A repeated execution does harm, so the request must not be executed twice."""


class DeduplicationScope(Enum):
    """The servers that share their memory of idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListDelivery(Enum):
    """The way in which nodes receive changes of the endpoint list."""

    PUSHED = "pushed"
    """Discovery sends each change at once."""

    POLLED = "on_request"
    """Nodes poll discovery for changes."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests.

    Attributes:
        name: the name of the class in the X-Class header of requests.
        idempotency: whether a request may be executed more than once.
        latency_objective_ms: the latency up to which a response has its full value.
        deadline_ms: the time that a client waits for a response.
        priority_weight: the value of a response within the latency objective.
        deduplication_scope: the servers that share their memory of idempotency keys and discard a request
            whose key they remember; None for a class without keys.
        deduplication_window_ms: the time for which these servers remember a key; unused for a class without
            keys.
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
    """The time limits that a deployment sets for nodes, and the load that a server handles while warming up.

    Attributes:
        response_slack_ms: the time after the deadline within which a response still counts as in time.
        warm_up_ms: the longest time from the start of a server until it has its full capacity.
        overload_multiple: a server that is warming up fails if its load exceeds this multiple of its present
            capacity.
        max_poll_interval_ms: the longest time between two polls of the endpoint list.
        overload_window_ms: the time window over which the load of a server that is warming up is measured.
        initial_capacity: the capacity of a server that has just started.
        drain_grace_ms: the time after the notification of a drain within which attempts may still be sent.
    """

    response_slack_ms: float
    warm_up_ms: float
    overload_multiple: float
    max_poll_interval_ms: float
    overload_window_ms: float
    initial_capacity: float
    drain_grace_ms: float


@dataclass(frozen=True, slots=True)
class PolicyLimits:
    """The limits of what a node may do with requests and connections.

    Attributes:
        cancel_allowed: whether a node may cancel attempts.
        idle_timeout_ms: the time for which servers keep an idle connection.
        connect_timeout_ms: the longest time in which a connection may be established.
        max_retry_after_ms: the longest Retry-After that clients respect.
        hedging_allowed: whether a second attempt of a request may start while the first attempt is in flight.
        health_checks_allowed: whether a node may send health checks to endpoints.
        retry_after_allowed: whether rejections contain a Retry-After header.
        max_attempts: the largest number of attempts of one request.
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
    """A tenant with its fraction of the capacity and its quota in requests per second."""

    name: str
    fraction: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one node.

    Attributes:
        zones: the names of the zones.
        node_count: the number of nodes of this tier.
        clients_mark_retries: whether clients mark a request that they send again.
        guarantees: the guarantees that servers and clients have.
        tiers: the names of the tiers.
        zone_index: the index of the node's zone in ``zones``.
        machine_types: the machine types of servers.
        node_index: the index of the node among the nodes of its tier.
        limits: the limits of what the node may do with requests and connections.
        classes: the request classes.
        list_delivery: the way in which the node receives changes of the endpoint list.
        tenants: the tenants.
        tick_ms: the shortest time between two batches of events.
        weights: a word that says whether the weights in the endpoint list are meaningful.
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
