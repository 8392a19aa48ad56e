"""An indexed, typed view of one history."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

from fault_soak.endpoints import ServerLocation
from fault_soak.faults import FaultKind
from fault_soak.history import (
    AttemptDone,
    AttemptReceived,
    AttemptResult,
    EventType,
    FaultBegan,
    FaultEnded,
    NodeExited,
    NodeLogged,
    NodeMeasured,
    NodeReady,
    NodeSignalled,
    NodeStarted,
    RequestSent,
)
from fault_soak.oracle.tolerances import MAX_LAG_ALLOWANCE_S, PAUSE_ALLOWANCE_S
from fault_soak.plan import Plan
from fault_soak.result import ScenarioResult
from fault_soak.settings import RequestClass, Settings

IncarnationEvent = TypeVar("IncarnationEvent", NodeStarted, NodeReady, NodeExited)


class IncarnationId(NamedTuple):
    """One process of a node."""

    node: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.node}/{self.incarnation}"


def incarnation_of(
    event: NodeStarted | NodeReady | NodeExited | NodeSignalled | NodeLogged | NodeMeasured | RequestSent,
) -> IncarnationId:
    """The process of a node that an event is about."""
    return IncarnationId(event.node, event.incarnation)


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """The time of one fault; end is infinite where the fault never ended."""

    begin: float
    end: float
    target: str


class HistoryView:
    """The history of one scenario, with the indexes that the checks share.

    Attributes:
        plan: the plan of the scenario.
        settings: the settings of its nodes.
        lag_s: how inexact the recorded times are, within what is allowed for it.
        requests: each request by its id, as it was sent last.
        attempts: the attempts of each request that has some, in the order of their arrival.
        starts: the start of each process of a node.
        exits: the end of each process of a node that has ended.
        ready: when each process of a node was ready for the first time.
    """

    def __init__(self, result: ScenarioResult) -> None:
        self._history = result.history
        self.plan: Plan = result.plan
        self.settings: Settings = result.plan.settings
        self.lag_s = min(result.worst_lag_s, MAX_LAG_ALLOWANCE_S)
        self.requests: dict[str, RequestSent] = {sent.request_id: sent for sent in self.of(RequestSent)}
        self.attempts: dict[str, list[AttemptReceived]] = {}
        for attempt in self.of(AttemptReceived):
            self.attempts.setdefault(attempt.request_id, []).append(attempt)
        self.starts = _by_incarnation(self.of(NodeStarted))
        self.exits = _by_incarnation(self.of(NodeExited))
        self.ready = _by_incarnation(self.of(NodeReady))
        self._classes = {request_class.name: request_class for request_class in self.settings.classes}
        self._locations = {location.server: location for location in self.plan.server_locations()}
        self._node_at = {start.address: start.node for start in self.of(NodeStarted)}
        self._ends = self._match_ends()
        self._pauses = self.fault_spans(FaultKind.NODE_PAUSE, FaultKind.WRITE_PAUSE)

    def of(self, kind: type[EventType]) -> list[EventType]:
        """All events of one type."""
        return self._history.of(kind)

    # Requests and attempts.

    def request_class(self, sent: RequestSent) -> RequestClass:
        """The class of a request."""
        return self._classes[sent.class_name]

    def attempts_of(self, request_id: str) -> Sequence[AttemptReceived]:
        """The attempts of a request, in the order of their arrival."""
        return self.attempts.get(request_id, ())

    def end_of(self, attempt: AttemptReceived) -> AttemptDone | None:
        """The end of an attempt, None where the server never finished it."""
        return self._ends.get(attempt)

    def has_run(self, attempt: AttemptReceived) -> bool:
        """Whether the server may have executed an attempt."""
        end = self.end_of(attempt)
        return end is None or end.result is not AttemptResult.REJECTED

    def node_of(self, attempt: AttemptReceived) -> str:
        """The node that sent an attempt; empty where its Host header names none."""
        return self._node_at.get(attempt.host, "")

    def location(self, server: str) -> ServerLocation:
        """Where a server runs."""
        return self._locations[server]

    def _match_ends(self) -> dict[AttemptReceived, AttemptDone]:
        """The end of each attempt that has one; a connection carries one attempt after another."""
        unmatched: dict[tuple[int, str], list[AttemptDone]] = defaultdict(list)
        for done in self.of(AttemptDone):
            unmatched[done.connection, done.request_id].append(done)
        matched: dict[AttemptReceived, AttemptDone] = {}
        for attempt in self.of(AttemptReceived):
            ends = unmatched[attempt.connection, attempt.request_id]
            if ends:
                matched[attempt] = ends.pop(0)
        return matched

    # Faults.

    def signal_times(self, incarnation: IncarnationId, number: int) -> list[float]:
        """When a signal was sent to a process of a node."""
        signals = self.of(NodeSignalled)
        return [s.at for s in signals if incarnation_of(s) == incarnation and s.signal == number]

    def fault_spans(self, *kinds: FaultKind) -> list[FaultSpan]:
        """The faults of some kinds, in the order in which they began."""
        names = {kind.value for kind in kinds}
        ends = {ended.index: ended.at for ended in self.of(FaultEnded)}
        return [
            FaultSpan(began.at, ends.get(began.index, float("inf")), began.target)
            for began in self.of(FaultBegan)
            if began.kind in names
        ]

    def pause_allowance_s(self, attempt: AttemptReceived) -> float:
        """What to add to the times of an attempt whose node was paused before it wrote."""
        node = self.node_of(attempt)
        paused = any(
            span.begin <= attempt.at <= span.end + PAUSE_ALLOWANCE_S
            for span in self._pauses
            if span.target == node
        )
        return PAUSE_ALLOWANCE_S + 0.01 if paused else 0.0


def _by_incarnation(events: list[IncarnationEvent]) -> dict[IncarnationId, IncarnationEvent]:
    return {incarnation_of(event): event for event in events}
