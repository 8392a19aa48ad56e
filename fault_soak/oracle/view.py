"""An indexed, typed view of the history of one scenario."""

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
    """The identity of one process of a node: the node's name and the number of the process."""

    node: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.node}/{self.incarnation}"


def incarnation_of(
    event: NodeStarted | NodeReady | NodeExited | NodeSignalled | NodeLogged | NodeMeasured | RequestSent,
) -> IncarnationId:
    """Return the identity of the node process that an event concerns."""
    return IncarnationId(event.node, event.incarnation)


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """The time span in which one fault was active; ``end`` is infinite if the fault did not end."""

    begin: float
    end: float
    target: str


class HistoryView:
    """The history of one scenario, with the indexes that the checks share.

    Attributes:
        plan: the plan of the scenario.
        settings: the settings of its nodes.
        lag_s: the possible error of the recorded times in seconds, at most ``MAX_LAG_ALLOWANCE_S``.
        requests: the latest ``RequestSent`` event of each request, by request id.
        attempts: the attempts of each request in the order of their arrival, by request id; requests without
            attempts are absent.
        starts: the ``NodeStarted`` event of each node process.
        exits: the ``NodeExited`` event of each node process that has ended.
        ready: the ``NodeReady`` event of each node process that has become ready.
    """

    def __init__(self, result: ScenarioResult) -> None:
        self._history = result.history
        self.plan: Plan = result.plan
        self.settings: Settings = result.plan.settings
        self.lag_s = min(result.worst_lag_s, MAX_LAG_ALLOWANCE_S)
        self.requests: dict[str, RequestSent] = {
            sent.request_id: sent for sent in self.events_of(RequestSent)
        }
        self.attempts: dict[str, list[AttemptReceived]] = {}
        for attempt in self.events_of(AttemptReceived):
            self.attempts.setdefault(attempt.request_id, []).append(attempt)
        self.starts = _index_by_incarnation(self.events_of(NodeStarted))
        self.exits = _index_by_incarnation(self.events_of(NodeExited))
        self.ready = _index_by_incarnation(self.events_of(NodeReady))
        self._classes = {request_class.name: request_class for request_class in self.settings.classes}
        self._locations = {location.server: location for location in self.plan.server_locations()}
        self._node_by_address = {start.address: start.node for start in self.events_of(NodeStarted)}
        self._ends = self._match_ends()
        self._pauses = self.fault_spans(FaultKind.NODE_PAUSE, FaultKind.WRITE_PAUSE)

    def events_of(self, kind: type[EventType]) -> list[EventType]:
        """Return all events of one type."""
        return self._history.events_of(kind)

    # Requests and attempts

    def request_class(self, sent: RequestSent) -> RequestClass:
        """Return the class of a request."""
        return self._classes[sent.class_name]

    def attempts_of(self, request_id: str) -> Sequence[AttemptReceived]:
        """Return the attempts of a request in the order of their arrival."""
        return self.attempts.get(request_id, ())

    def end_of(self, attempt: AttemptReceived) -> AttemptDone | None:
        """Return the end of an attempt, or None if the server did not finish the attempt."""
        return self._ends.get(attempt)

    def may_have_executed(self, attempt: AttemptReceived) -> bool:
        """Check whether the server may have executed an attempt."""
        end = self.end_of(attempt)
        return end is None or end.result is not AttemptResult.REJECTED

    def node_of(self, attempt: AttemptReceived) -> str:
        """Return the name of the node that sent an attempt, or "" if its Host header is no node's address."""
        return self._node_by_address.get(attempt.host, "")

    def location(self, server: str) -> ServerLocation:
        """Return the location of a server."""
        return self._locations[server]

    def _match_ends(self) -> dict[AttemptReceived, AttemptDone]:
        """Match each attempt with its end; attempts without an end are absent.

        A connection carries one attempt after another, so the ends on a connection are matched in order.
        """
        unmatched: dict[tuple[int, str], list[AttemptDone]] = defaultdict(list)
        for done in self.events_of(AttemptDone):
            unmatched[done.connection, done.request_id].append(done)
        matched: dict[AttemptReceived, AttemptDone] = {}
        for attempt in self.events_of(AttemptReceived):
            ends = unmatched[attempt.connection, attempt.request_id]
            if ends:
                matched[attempt] = ends.pop(0)
        return matched

    # Faults

    def signal_times(self, incarnation: IncarnationId, number: int) -> list[float]:
        """Return the times at which a signal was sent to a node process."""
        signals = self.events_of(NodeSignalled)
        return [s.at for s in signals if incarnation_of(s) == incarnation and s.signal == number]

    def fault_spans(self, *kinds: FaultKind) -> list[FaultSpan]:
        """Return the spans of the faults of the given kinds, in the order in which the faults began."""
        names = {kind.value for kind in kinds}
        ends = {ended.index: ended.at for ended in self.events_of(FaultEnded)}
        return [
            FaultSpan(began.at, ends.get(began.index, float("inf")), began.target)
            for began in self.events_of(FaultBegan)
            if began.kind in names
        ]

    def pause_allowance_s(self, attempt: AttemptReceived) -> float:
        """Return the seconds to add to an attempt's time limits because its node may have been paused.

        The result is 0 if the node was not paused before it wrote the attempt.
        """
        node = self.node_of(attempt)
        paused = any(
            span.begin <= attempt.at <= span.end + PAUSE_ALLOWANCE_S
            for span in self._pauses
            if span.target == node
        )
        return PAUSE_ALLOWANCE_S + 0.01 if paused else 0.0


def _index_by_incarnation(events: list[IncarnationEvent]) -> dict[IncarnationId, IncarnationEvent]:
    return {incarnation_of(event): event for event in events}
