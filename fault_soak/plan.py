"""Draws a scenario from its seed: deployment, settings, load and a schedule of overlapping faults."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, replace
from enum import Enum

from fault_soak.endpoints import ServerLocation
from fault_soak.settings import (
    DeduplicationScope,
    Guarantees,
    Idempotency,
    ListDelivery,
    PolicyLimits,
    RequestClass,
    Settings,
    Tenant,
)

SCENARIO_S = 12.0
COLD_START_FRACTION = 0.15
MAX_LOAD_PER_S = 150.0  # what the fault test's own process can handle while others run
MIN_NODE_LOAD_PER_S = 3.0
MAX_WORK_FRACTION = 0.25  # of the latency objective: longer work could not be served in time
SETTLE_S = 1.0  # before the first fault


class FaultKind(Enum):
    """What can go wrong in a scenario; the value is the name in reports."""

    NODE_TERM = "node-term"
    NODE_KILL = "node-kill"
    NODE_PAUSE = "node-pause"
    NODE_RESTART_RELOAD = "node-restart-reload"
    RELOAD_MOVE = "reload-move"
    RELOAD_PARTIAL = "reload-partial"
    LOG_STALL = "log-stall"
    LOG_CLOSED = "log-closed"
    DISCOVERY_DOWN = "discovery-down"
    WATCH_SILENT = "watch-silent"
    WATCH_RESET = "watch-reset"
    LIST_PIECES = "list-pieces"
    SERVER_DRAIN = "server-drain"
    SERVER_CRASH = "server-crash"
    SERVER_HANG = "server-hang"
    SERVER_ERRORS = "server-errors"
    SERVER_GARBLE = "server-garble"
    SERVER_IDLE_CLOSE = "server-idle-close"
    LINK_SILENT = "link-silent"
    LINK_RESET_REQUEST = "link-reset-request"
    LINK_RESET_RESPONSE = "link-reset-response"
    LINK_LATE = "link-late"
    CLIENTS_LEAVE = "clients-leave"
    CLIENTS_STOP = "clients-stop"
    CLIENTS_PIPELINE = "clients-pipeline"
    CLIENTS_GARBAGE = "clients-garbage"
    CLIENTS_SLOW = "clients-slow"
    CLIENTS_CONNECTION_BURST = "clients-crowd"
    LOAD_BURST = "load-burst"
    SYSCALL_ACCEPT = "syscall-accept"
    SYSCALL_CONNECT = "syscall-connect"
    SYSCALL_SOCKET = "syscall-socket"
    SYSCALL_OPEN = "syscall-open"
    SYSCALL_READ = "syscall-read"
    SYSCALL_SHORT = "syscall-short"
    SYSCALL_INTERRUPT = "syscall-interrupt"
    WRITE_PAUSE = "write-pause"
    CLOCK_STEP = "clock-step"


NODE_KINDS = frozenset(
    kind
    for kind in FaultKind
    if kind.value.startswith(("node-", "reload-", "log-", "watch-", "list-", "syscall-", "write-", "clock-"))
)
SERVER_KINDS = frozenset(kind for kind in FaultKind if kind.value.startswith(("server-", "link-")))


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a schedule; target is the index of a node or server, times are seconds of the scenario."""

    kind: FaultKind
    begin_s: float
    length_s: float
    target: int

    def overlaps(self, other: Fault) -> bool:
        """Whether both are active at the same time for a while."""
        return self.begin_s < other.begin_s + other.length_s and other.begin_s < self.begin_s + self.length_s


@dataclass(frozen=True, slots=True)
class Plan:
    """Everything that determines a scenario.

    Attributes:
        seed: the seed that it was drawn from.
        node_count: the number of nodes.
        server_count: the number of servers.
        settings: the settings of every node, but for its position and zone.
        descriptors: the descriptor limit of a node.
        requests_per_s: the load of each node.
        work_ms: the planned service time, the median of those that are drawn.
        server_slots: requests that a server serves concurrently.
        cold_start: all servers start together with the nodes.
        client_leave_fraction: the fraction of requests whose client leaves early.
        faults: the schedule.
    """

    seed: int
    node_count: int
    server_count: int
    settings: Settings
    descriptors: int
    requests_per_s: float
    work_ms: float
    server_slots: int
    client_leave_fraction: float
    cold_start: bool
    faults: tuple[Fault, ...]

    def server_locations(self) -> tuple[ServerLocation, ...]:
        """Where each server runs: zones alternate, and a cell is a pair of servers."""
        zones = self.settings.zones
        return tuple(ServerLocation(f"s{i}", zones[i % len(zones)], i // 2) for i in range(self.server_count))

    def node_settings(self, index: int) -> Settings:
        """The settings of one node."""
        return replace(self.settings, node_index=index, zone_index=index % len(self.settings.zones))

    def with_faults(self, indices: frozenset[int]) -> Plan:
        """The same scenario with some of its faults alone."""
        return replace(self, faults=tuple(f for i, f in enumerate(self.faults) if i in indices))

    def with_nodes(self, count: int) -> Plan:
        """The same scenario with another number of nodes, which share the same load."""
        return replace(
            self,
            node_count=count,
            settings=replace(self.settings, node_count=count),
            requests_per_s=self.requests_per_s * self.node_count / count,
        )


ALL_PAIRS = tuple(itertools.combinations(FaultKind, 2))


def draw_plan(seed: int, kinds: frozenset[FaultKind] = frozenset(FaultKind)) -> Plan:
    """The plan of a seed; consecutive seeds force consecutive pairs of kinds to overlap."""
    rng = random.Random(seed)
    node_count = rng.choice((3, 4, 5, 6))
    server_count = rng.choice((1, 2, 4, 6, 8)) if rng.random() < 0.5 else rng.choice((4, 6))
    settings = _draw_settings(rng, node_count)
    cold_start = rng.random() < COLD_START_FRACTION
    if cold_start and len(kinds - SERVER_KINDS) >= 2:
        kinds -= SERVER_KINDS
    work_ms, server_slots = rng.choice(((5.0, 2), (12.0, 1), (25.0, 1), (25.0, 4), (40.0, 2)))
    work_ms = min(work_ms, MAX_WORK_FRACTION * min(c.latency_objective_ms for c in settings.classes))
    capacity_per_s = server_count * server_slots / (work_ms / 1000.0)
    load_per_s = min(MAX_LOAD_PER_S, rng.choice((0.15, 0.4, 0.7)) * capacity_per_s)
    requests_per_s = max(MIN_NODE_LOAD_PER_S, load_per_s / node_count)
    return Plan(
        seed=seed,
        node_count=node_count,
        server_count=server_count,
        settings=settings,
        descriptors=rng.choice((30, 48, 64, 96, 128, 256, 256, 512)),
        requests_per_s=requests_per_s,
        work_ms=work_ms,
        server_slots=server_slots,
        client_leave_fraction=rng.choice((0.0, 0.1, 0.4)),
        cold_start=cold_start,
        faults=_draw_faults(rng, seed, node_count, server_count, kinds),
    )


def _draw_faults(
    rng: random.Random, seed: int, node_count: int, server_count: int, kinds: frozenset[FaultKind]
) -> tuple[Fault, ...]:
    usable = sorted(kinds, key=lambda kind: kind.value)
    pairs = [pair for pair in ALL_PAIRS if kinds.issuperset(pair)]
    # The stride is coprime to the number of all pairs, so that consecutive seeds reach each of them, and the
    # pairs of neighbouring seeds differ in both kinds.
    first, second = pairs[(seed * 97) % len(pairs)]

    def draw(kind: FaultKind, begin_s: float) -> Fault:
        length_s = rng.uniform(0.2, 3.0)
        count = server_count if kind in SERVER_KINDS else node_count
        return Fault(kind, begin_s, min(length_s, SCENARIO_S - begin_s - 0.1), rng.randrange(count))

    forced = draw(first, rng.uniform(SETTLE_S, SCENARIO_S - 5.0))
    offset_s = rng.choice((0.0, 0.02, rng.uniform(0.0, forced.length_s)))
    faults = [forced, replace(draw(second, forced.begin_s + offset_s), target=forced.target)]
    if first in SERVER_KINDS or second in SERVER_KINDS:
        faults[1] = replace(faults[1], target=faults[1].target % min(node_count, server_count))
    for _ in range(rng.randint(5, 11)):
        anchor = rng.choice(faults)
        kind = rng.choice(usable)
        at = rng.choice(
            (anchor.begin_s, anchor.begin_s + anchor.length_s, rng.uniform(SETTLE_S, SCENARIO_S - 3.0))
        )
        at = min(max(SETTLE_S, at + rng.choice((-0.05, 0.0, 0.05, 0.3))), SCENARIO_S - 2.5)
        faults.append(draw(kind, at))
    return tuple(sorted(faults, key=lambda fault: fault.begin_s))


def _draw_settings(rng: random.Random, node_count: int) -> Settings:
    """Draw the settings; the order of the draws belongs to the plan of a seed."""
    deadline_ms = rng.choice((50.0, 200.0, 600.0, 1500.0, 2500.0, 5000.0))
    window_ms = deadline_ms * rng.choice((0.1, 0.3, 0.8, 2.0))
    scope = rng.choice((DeduplicationScope.ALL, DeduplicationScope.ZONE, DeduplicationScope.CELL))
    clients_mark_retries = rng.random() < 0.5
    guarantees = _draw_guarantees(rng)
    limits = _draw_limits(rng)
    classes = (
        _draw_class(rng, "look", Idempotency.IDEMPOTENT, deadline_ms),
        replace(
            _draw_class(rng, "move", Idempotency.KEYED, deadline_ms),
            deduplication_scope=scope,
            deduplication_window_ms=window_ms,
        ),
        _draw_class(rng, "book", Idempotency.NON_IDEMPOTENT, deadline_ms),
    )
    return Settings(
        zones=("a", "b"),
        node_count=node_count,
        clients_mark_retries=clients_mark_retries,
        guarantees=guarantees,
        tiers=("front",),
        zone_index=0,
        machine_types=("m1", "m2"),
        node_index=0,
        limits=limits,
        classes=classes,
        list_delivery=rng.choice((ListDelivery.PUSHED, ListDelivery.PUSHED, ListDelivery.POLLED)),
        tenants=(Tenant("acme", fraction=1.0, quota_per_s=1000.0),),
        tick_ms=5.0,
        weights="nominal",
    )


def _draw_guarantees(rng: random.Random) -> Guarantees:
    return Guarantees(
        response_slack_ms=20.0,
        warm_up_ms=rng.choice((1000.0, 4000.0, 12000.0)),
        overload_multiple=rng.choice((3.0, 4.0)),
        poll_within_ms=rng.choice((2000.0, 6000.0)),
        overload_window_ms=rng.choice((1000.0, 3000.0)),
        initial_capacity=rng.choice((0.05, 0.13, 0.3)),
        drain_grace_ms=rng.choice((400.0, 1000.0)),
    )


def _draw_limits(rng: random.Random) -> PolicyLimits:
    return PolicyLimits(
        cancel_allowed=rng.random() < 0.8,
        idle_timeout_ms=rng.choice((1000.0, 5000.0, 15000.0)),
        connect_timeout_ms=rng.choice((100.0, 150.0, 400.0)),
        max_retry_after_ms=rng.choice((100.0, 1200.0)),
        hedging_allowed=rng.random() < 0.6,
        health_checks_allowed=rng.random() < 0.7,
        retry_after_allowed=rng.random() < 0.8,
        max_attempts=rng.choice((1, 2, 3, 5)),
    )


def _draw_class(
    rng: random.Random, name: str, idempotency: Idempotency, base_deadline_ms: float
) -> RequestClass:
    deadline_ms = base_deadline_ms * rng.choice((1.0, 1.0, 0.5, 2.0))
    return RequestClass(
        name=name,
        idempotency=idempotency,
        latency_objective_ms=0.4 * deadline_ms,
        deadline_ms=deadline_ms,
        priority_weight=rng.choice((1.0, 5.0)),
    )
