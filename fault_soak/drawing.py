"""Functions that draw the plan of a scenario at random from a seed.

A seed always gives the same plan. A change to the order of the random draws changes the plans of all seeds.
"""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, replace

from fault_soak.faults import SERVER_KINDS, Fault, FaultKind
from fault_soak.plan import SCENARIO_S, Plan
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

COLD_START_FRACTION = 0.15
MAX_LOAD_PER_S = 150.0  # requests per second that the fault test can handle while other scenarios run
MIN_NODE_LOAD_PER_S = 3.0
# The longest planned service time, as a fraction of the shortest latency objective. Requests with a longer
# service time could not be completed in time.
MAX_WORK_FRACTION = 0.25
EARLIEST_BEGIN_S = 1.0  # no fault begins before this time
FAULT_LENGTH_S = (0.2, 3.0)  # minimum and maximum
# Each schedule contains a pair of faults that overlap and whose kinds follow from the seed.
ADDITIONAL_FAULTS = (5, 11)  # minimum and maximum number of faults besides this pair
LATEST_FORCED_S = SCENARIO_S - 5.0  # the latest beginning of the first fault of this pair
LATEST_FREE_S = SCENARIO_S - 3.0  # the latest beginning that is drawn independently of other faults
LATEST_BEGIN_S = SCENARIO_S - 2.5  # the latest beginning of any additional fault
END_MARGIN_S = 0.1  # the shortest time between the end of a fault and the end of the scenario
PAIR_STRIDE = 97
"""The step in ``ALL_PAIRS`` from the pair of fault kinds of one seed to the pair of the next seed.

The step is coprime to the number of all pairs, so that a sequence of consecutive seeds reaches every pair.
Neighbours in ``ALL_PAIRS`` usually have a kind in common. The step is large, so that the pairs of consecutive
seeds usually differ in both kinds.
"""

ALL_PAIRS = tuple(itertools.combinations(FaultKind, 2))


def draw_plan(seed: int, kinds: frozenset[FaultKind] = frozenset(FaultKind)) -> Plan:
    """Draw the plan of a seed with faults of the given kinds.

    At least two kinds are needed, because each plan contains a pair of overlapping faults of different kinds.
    The kinds of this pair follow from the seed, so that consecutive seeds cover all pairs of kinds.
    """
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
        faults=ScheduleGenerator(rng, node_count, server_count, kinds).draw(seed),
    )


@dataclass(frozen=True, slots=True)
class ScheduleGenerator:
    """A generator of the schedule of faults of a scenario."""

    rng: random.Random
    node_count: int
    server_count: int
    kinds: frozenset[FaultKind]

    def draw(self, seed: int) -> tuple[Fault, ...]:
        """Draw a pair of overlapping faults, whose kinds follow from the seed, and additional faults.

        The additional faults often begin near the beginning or end of another fault.
        """
        rng = self.rng
        sorted_kinds = sorted(self.kinds, key=lambda kind: kind.value)
        faults = self._forced_pair(seed)
        for _ in range(rng.randint(*ADDITIONAL_FAULTS)):
            anchor = rng.choice(faults)
            kind = rng.choice(sorted_kinds)
            faults.append(self._fault(kind, self._begin_near(anchor)))
        return tuple(sorted(faults, key=lambda fault: fault.begin_s))

    def _forced_pair(self, seed: int) -> list[Fault]:
        rng = self.rng
        pairs = [pair for pair in ALL_PAIRS if self.kinds.issuperset(pair)]
        first_kind, second_kind = pairs[(seed * PAIR_STRIDE) % len(pairs)]
        first = self._fault(first_kind, rng.uniform(EARLIEST_BEGIN_S, LATEST_FORCED_S))
        offset_s = rng.choice((0.0, 0.02, rng.uniform(0.0, first.length_s)))
        second = self._fault(second_kind, first.begin_s + offset_s)
        target = first.target
        if first_kind in SERVER_KINDS or second_kind in SERVER_KINDS:
            target %= min(self.node_count, self.server_count)
        return [first, replace(second, target=target)]

    def _begin_near(self, anchor: Fault) -> float:
        """Draw the beginning of a fault: near the beginning or end of another fault, or at any time."""
        rng = self.rng
        end_s = anchor.begin_s + anchor.length_s
        begin_s = rng.choice((anchor.begin_s, end_s, rng.uniform(EARLIEST_BEGIN_S, LATEST_FREE_S)))
        return min(max(EARLIEST_BEGIN_S, begin_s + rng.choice((-0.05, 0.0, 0.05, 0.3))), LATEST_BEGIN_S)

    def _fault(self, kind: FaultKind, begin_s: float) -> Fault:
        length_s = self.rng.uniform(*FAULT_LENGTH_S)
        count = self.server_count if kind in SERVER_KINDS else self.node_count
        length_s = min(length_s, SCENARIO_S - begin_s - END_MARGIN_S)
        return Fault(kind, begin_s, length_s, self.rng.randrange(count))


def _draw_settings(rng: random.Random, node_count: int) -> Settings:
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
        max_poll_interval_ms=rng.choice((2000.0, 6000.0)),
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
