"""Draws a play from its seed: the deployment, its settings, the load and a schedule of overlapping faults."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

PLAY_S = 12.0
COLD_START_FRACTION = 0.15
MAX_LOAD_PER_S = 150.0  # what the soak's own process bears beside others
MIN_NODE_LOAD_PER_S = 3.0
MAX_WORK_FRACTION = 0.25  # of the latency objective: more could not be served
SETTLE_S = 1.0  # before the first fault, and behind the last one's start


class FaultKind(Enum):
    """What can go wrong in a play; the value is the name in reports."""

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
    CLIENTS_CROWD = "clients-crowd"
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
    """A fault of a schedule; target is the index of a node or server, times are seconds of the play."""

    kind: FaultKind
    begin_s: float
    length_s: float
    target: int

    def overlaps(self, other: Fault) -> bool:
        """Whether both lie over each other for some time."""
        return self.begin_s < other.begin_s + other.length_s and other.begin_s < self.begin_s + self.length_s


@dataclass(frozen=True, slots=True)
class Plan:
    """All that a play is made of.

    Attributes:
        seed: what it was drawn from.
        node_count: nodes.
        server_count: servers at the start.
        settings: the settings of every node, in their documented form.
        descriptors: the descriptor limit of a node.
        requests_per_s: the load of each node.
        work_ms: the mean service time.
        server_slots: requests that a warm server works on at once.
        cold_start: all servers have just been started when the nodes are.
        client_leave_fraction: of all requests, those whose client leaves early.
        faults: the schedule.
    """

    seed: int
    node_count: int
    server_count: int
    settings: dict[str, Any]
    descriptors: int
    requests_per_s: float
    work_ms: float
    server_slots: int
    client_leave_fraction: float
    cold_start: bool
    faults: tuple[Fault, ...]

    def with_faults(self, indices: frozenset[int]) -> Plan:
        """The same play with some of its faults alone."""
        return replace(self, faults=tuple(f for i, f in enumerate(self.faults) if i in indices))

    def with_nodes(self, count: int) -> Plan:
        """The same play with another number of nodes, which share the same load."""
        return replace(
            self,
            node_count=count,
            settings={**self.settings, "balancers": count},
            requests_per_s=self.requests_per_s * self.node_count / count,
        )


ALL_PAIRS = tuple(itertools.combinations(FaultKind, 2))


def draw_plan(seed: int, kinds: frozenset[FaultKind] = frozenset(FaultKind)) -> Plan:
    """The play of a seed.  Consecutive seeds force consecutive pairs of kinds to lie over each other."""
    rng = random.Random(seed)
    node_count = rng.choice((3, 4, 5, 6))
    server_count = rng.choice((1, 2, 4, 6, 8)) if rng.random() < 0.5 else rng.choice((4, 6))
    settings = _draw_settings(rng, node_count)
    cold_start = rng.random() < COLD_START_FRACTION
    if cold_start and len(kinds - SERVER_KINDS) >= 2:
        kinds -= SERVER_KINDS
    work_ms, server_slots = rng.choice(((5.0, 2), (12.0, 1), (25.0, 1), (25.0, 4), (40.0, 2)))
    work_ms = min(work_ms, MAX_WORK_FRACTION * min(p["aimMs"] for p in settings["profiles"]))
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
    # A stride that is prime to the number of pairs meets all of them, and neighbours differ in both kinds.
    first, second = pairs[(seed * 97) % len(pairs)]

    def draw(kind: FaultKind, begin_s: float) -> Fault:
        length_s = rng.uniform(0.2, 3.0)
        count = server_count if kind in SERVER_KINDS else node_count
        return Fault(kind, begin_s, min(length_s, PLAY_S - begin_s - 0.1), rng.randrange(count))

    forced = draw(first, rng.uniform(SETTLE_S, PLAY_S - 5.0))
    offset_s = rng.choice((0.0, 0.02, rng.uniform(0.0, forced.length_s)))
    faults = [forced, replace(draw(second, forced.begin_s + offset_s), target=forced.target)]
    if first in SERVER_KINDS or second in SERVER_KINDS:
        faults[1] = replace(faults[1], target=faults[1].target % min(node_count, server_count))
    for _ in range(rng.randint(5, 11)):
        anchor = rng.choice(faults)
        kind = rng.choice(usable)
        at = rng.choice(
            (anchor.begin_s, anchor.begin_s + anchor.length_s, rng.uniform(SETTLE_S, PLAY_S - 3.0))
        )
        at = min(max(SETTLE_S, at + rng.choice((-0.05, 0.0, 0.05, 0.3))), PLAY_S - 2.5)
        faults.append(draw(kind, at))
    return tuple(sorted(faults, key=lambda fault: fault.begin_s))


def _draw_settings(rng: random.Random, node_count: int) -> dict[str, Any]:
    deadline_ms = rng.choice((50.0, 200.0, 600.0, 1500.0, 2500.0, 5000.0))
    window_ms = deadline_ms * rng.choice((0.1, 0.3, 0.8, 2.0))
    group = rng.choice(("all", "zone", "cell"))

    def request_class(name: str, effect: str, **more: Any) -> dict[str, Any]:
        stretch = rng.choice((1.0, 1.0, 0.5, 2.0))
        deadline = deadline_ms * stretch
        return {
            "name": name,
            "effect": effect,
            "aimMs": 0.4 * deadline,
            "deadlineMs": deadline,
            "worth": rng.choice((1.0, 5.0)),
            **more,
        }

    return {
        "azs": ["a", "b"],
        "balancers": node_count,
        "clientHabits": {"marksRetry": rng.random() < 0.5},
        "guarantees": {
            "answerSlackMs": 20.0,
            "coldMs": rng.choice((1000.0, 4000.0, 12000.0)),
            "fallMultiple": rng.choice((3.0, 4.0)),
            "mustAskInMs": rng.choice((2000.0, 6000.0)),
            "overloadForMs": rng.choice((1000.0, 3000.0)),
            "startCapacity": rng.choice((0.05, 0.13, 0.3)),
            "stopSendingWithinMs": rng.choice((400.0, 1000.0)),
        },
        "layers": ["front"],
        "locality": 0,
        "models": ["m1", "m2"],
        "ordinal": 0,
        "policyLimits": {
            "cancel": rng.random() < 0.8,
            "connIdleMs": rng.choice((1000.0, 5000.0, 15000.0)),
            "connectTimeoutMs": rng.choice((100.0, 150.0, 400.0)),
            "maxRetryAfterMs": rng.choice((100.0, 1200.0)),
            "mayDuplicate": rng.random() < 0.6,
            "probes": rng.random() < 0.7,
            "retryAfter": rng.random() < 0.8,
            "tryLimit": rng.choice((1, 2, 3, 5)),
        },
        "profiles": [
            request_class("look", "safe"),
            request_class("move", "keyed", group=group, windowMs=window_ms),
            request_class("book", "unsafe"),
        ],
        "registryMode": rng.choice(("pushed", "pushed", "on_request")),
        "tenants": [{"name": "acme", "fraction": 1.0, "quotaPerS": 1000.0}],
        "tickMs": 5.0,
        "weights": "nominal",
    }
