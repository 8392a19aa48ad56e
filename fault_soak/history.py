"""The history of one scenario: the events that stubs and node processes cause, on one monotonic clock."""

from __future__ import annotations

import time
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar, cast

EventType = TypeVar("EventType", bound="HistoryEvent")


class AttemptResult(Enum):
    """The result of an attempt at the server."""

    SERVED = "served"
    """The server executed the request and wrote a response, which may be malformed."""

    ERROR = "error"
    """The server wrote an error response and may have executed the request."""

    REJECTED = "rejected"
    """The server declared that it did not execute the request."""

    ABANDONED = "abandoned"
    """The connection was closed before the server wrote a response."""


class Lifecycle(Enum):
    """A server's state in the endpoint list."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


@dataclass(frozen=True, slots=True)
class HistoryEvent:
    """An event of a history; ``at`` is its time in monotonic seconds."""

    at: float


@dataclass(frozen=True, slots=True)
class RequestSent(HistoryEvent):
    """A client wrote the last byte of a request.

    Attributes:
        first_byte_at: the time when the client began to write; the node may read from then on.
        request_id: the id of the request.
        node: the name of the node.
        incarnation: the number of the node process that accepted the connection.
        class_name: the request class.
        deadline_s: the time in seconds that the client allows for the response.
        resent: whether the client sent the request before, on a reused connection that was closed before the
            first byte of a response.
    """

    first_byte_at: float
    request_id: str
    node: str
    incarnation: int
    class_name: str
    deadline_s: float
    resent: bool = False


@dataclass(frozen=True, slots=True)
class ClientLeft(HistoryEvent):
    """A client closed its connection while waiting for a response."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ResponseReceived(HistoryEvent):
    """A client read the last byte of a response; ``retry_after_s`` is None without a Retry-After header."""

    request_id: str
    status: int
    body: bytes
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class ResponseMissing(HistoryEvent):
    """A client stopped waiting without having received a complete response.

    Attributes:
        request_id: the id of the request.
        closed: whether the node closed the connection; otherwise the client's wait timed out.
        unread_allowed: whether the node may close the connection without reading the request.
    """

    request_id: str
    closed: bool
    unread_allowed: bool


@dataclass(frozen=True, slots=True)
class IncompleteRequestStopped(HistoryEvent):
    """A faulty client stopped writing in the middle of a request and keeps its connection open."""

    client: int
    node: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class IncompleteRequestEnded(HistoryEvent):
    """A faulty client that had sent only a part of a request got an error response or was disconnected."""

    client: int


@dataclass(frozen=True, slots=True)
class AttemptReceived(HistoryEvent):
    """A server read the last byte of an attempt.

    Attributes:
        first_byte_at: the time when the server read the first byte of the attempt.
        server: the name of the server.
        connection: the number of the connection, unique among the connections of all stub servers.
        host: the Host header, which contains the node's listening address.
        request_id: the id of the request.
        forwarded_deadline_s: the time in seconds that the node allows for the attempt; None without a valid
            X-Deadline header.
    """

    first_byte_at: float
    server: str
    connection: int
    host: str
    request_id: str
    forwarded_deadline_s: float | None


@dataclass(frozen=True, slots=True)
class AttemptDone(HistoryEvent):
    """An attempt ended at the server; an attempt without this event is in flight when the history ends."""

    server: str
    connection: int
    request_id: str
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class EndpointNotified(HistoryEvent):
    """From this time on, the oracle treats a node as notified of a server's state.

    ``generation`` is the version of the endpoint list in which the server has this state.
    """

    node: str
    server: str
    lifecycle: Lifecycle
    generation: int


@dataclass(frozen=True, slots=True)
class ServerStarted(HistoryEvent):
    """A process of a server started; a cold process warms up from this time on."""

    server: str
    cold: bool


@dataclass(frozen=True, slots=True)
class NodeStarted(HistoryEvent):
    """A node process was started; ``address`` is its listening address."""

    node: str
    incarnation: int
    address: str


@dataclass(frozen=True, slots=True)
class NodeReady(HistoryEvent):
    """A node process responded with status 200 to GET /ready for the first time since its start."""

    node: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class NodeSignalled(HistoryEvent):
    """A signal was sent to a node process."""

    node: str
    incarnation: int
    signal: int


@dataclass(frozen=True, slots=True)
class NodeExited(HistoryEvent):
    """A node process has ended; a negative code is the negated number of the signal that ended it."""

    node: str
    incarnation: int
    code: int


@dataclass(frozen=True, slots=True)
class NodeLogged(HistoryEvent):
    """A line was read from the log of a node process."""

    node: str
    incarnation: int
    line: str


@dataclass(frozen=True, slots=True)
class NodeMeasured(HistoryEvent):
    """The number of open descriptors and the resident memory of a node process were measured."""

    node: str
    incarnation: int
    descriptors: int
    memory_kb: int


@dataclass(frozen=True, slots=True)
class FaultBegan(HistoryEvent):
    """A fault of the schedule began; ``index`` is its position in the schedule."""

    index: int
    kind: str
    target: str


@dataclass(frozen=True, slots=True)
class FaultEnded(HistoryEvent):
    """A fault ended; ``fired`` is the number of times it took effect, or None if that cannot be counted."""

    index: int
    kind: str
    target: str
    fired: int | None


@dataclass(slots=True)
class History:
    """The events of one scenario, in the order in which they were recorded."""

    events: list[HistoryEvent] = field(default_factory=list)
    _by_type: dict[type[HistoryEvent], list[HistoryEvent]] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        """Index the events by type, because the oracle reads them by type."""
        self._by_type = defaultdict(list)
        for event in self.events:
            self._by_type[type(event)].append(event)

    @staticmethod
    def now() -> float:
        """Return the current time of the clock of all events, in monotonic seconds."""
        return time.monotonic()

    def add(self, event: HistoryEvent) -> None:
        """Record an event."""
        self.events.append(event)
        self._by_type[type(event)].append(event)

    def events_of(self, kind: type[EventType]) -> list[EventType]:
        """Return all events of one type, in the order in which they were recorded."""
        return cast(list[EventType], list(self._by_type[kind]))
