"""The history of one scenario: what stubs sent, received and announced, on one monotonic clock."""

from __future__ import annotations

import time
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar, cast

EventType = TypeVar("EventType", bound="HistoryEvent")


class AttemptResult(Enum):
    """How an attempt ended at the server."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "rejected"
    """The server declared that it did not execute the request."""

    ABANDONED = "abandoned"
    """The connection closed before an answer was written."""


class Lifecycle(Enum):
    """A server's state in the endpoint list."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


@dataclass(frozen=True, slots=True)
class HistoryEvent:
    """An event; at is in monotonic seconds."""

    at: float


@dataclass(frozen=True, slots=True)
class RequestSent(HistoryEvent):
    """A client wrote the last byte of a request.

    Attributes:
        first_byte_at: when it began to write; the node may read from then on.
        request_id: the id that it carries.
        node: the node's name.
        incarnation: which of the node's processes accepted the connection.
        class_name: its class.
        deadline_s: the time that the client allows for the response.
        resent: it was sent before, on a connection that was closed before it was read.
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
    """A client closed its connection while it waited for a response."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ResponseReceived(HistoryEvent):
    """A client read the last byte of a response; retry_after_s is None without that header."""

    request_id: str
    status: int
    body: bytes
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class ResponseMissing(HistoryEvent):
    """A client's wait ended without a complete response.

    Attributes:
        request_id: the id of the request.
        closed: the node closed the connection; otherwise nothing came until the client gave up.
        unread_allowed: the node may have closed the connection without reading the request.
    """

    request_id: str
    closed: bool
    unread_allowed: bool


@dataclass(frozen=True, slots=True)
class IncompleteRequestStopped(HistoryEvent):
    """A faulty client stopped within a request, and keeps its connection open."""

    client: int
    node: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class IncompleteRequestReleased(HistoryEvent):
    """The faulty client received an error response, or its connection was closed."""

    client: int


@dataclass(frozen=True, slots=True)
class AttemptReceived(HistoryEvent):
    """A server read the last byte of an attempt.

    Attributes:
        first_byte_at: when its first byte came.
        server: the server's id.
        connection: the server's number for the connection.
        host: the Host header, which names the node's listening address.
        request_id: the id that it carries.
        forwarded_deadline_s: the time that the node allows for it; None without a valid header.
    """

    first_byte_at: float
    server: str
    connection: int
    host: str
    request_id: str
    forwarded_deadline_s: float | None


@dataclass(frozen=True, slots=True)
class AttemptDone(HistoryEvent):
    """An attempt ended at the server; an attempt without an end is still in flight when the history ends."""

    server: str
    connection: int
    request_id: str
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class EndpointNotified(HistoryEvent):
    """From this time on a node counts as notified of a server's state in a generation of the list."""

    node: str
    server: str
    lifecycle: Lifecycle
    generation: int


@dataclass(frozen=True, slots=True)
class ServerStarted(HistoryEvent):
    """A process of a server started; a cold one warms up from this time on."""

    server: str
    cold: bool


@dataclass(frozen=True, slots=True)
class NodeStarted(HistoryEvent):
    """A node's process was started; address is its listening address."""

    node: str
    incarnation: int
    address: str


@dataclass(frozen=True, slots=True)
class NodeReady(HistoryEvent):
    """GET /ready was answered 200 for the first time since the start."""

    node: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class NodeSignalled(HistoryEvent):
    """A signal was sent to a node."""

    node: str
    incarnation: int
    signal: int


@dataclass(frozen=True, slots=True)
class NodeExited(HistoryEvent):
    """A node's process has ended; a negative code is the signal that ended it."""

    node: str
    incarnation: int
    code: int


@dataclass(frozen=True, slots=True)
class NodeLogged(HistoryEvent):
    """A node wrote a line to its log."""

    node: str
    incarnation: int
    line: str


@dataclass(frozen=True, slots=True)
class NodeMeasured(HistoryEvent):
    """The descriptors and the resident memory of a node."""

    node: str
    incarnation: int
    descriptors: int
    memory_kb: int


@dataclass(frozen=True, slots=True)
class FaultBegan(HistoryEvent):
    """A fault of the schedule began; index is its position there."""

    index: int
    kind: str
    target: str


@dataclass(frozen=True, slots=True)
class FaultEnded(HistoryEvent):
    """A fault ended; fired counts how often it took effect, None where that cannot be counted."""

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
        """Index the events by type, as the oracle reads them."""
        self._by_type = defaultdict(list)
        for event in self.events:
            self._by_type[type(event)].append(event)

    @staticmethod
    def now() -> float:
        """Monotonic seconds, the clock of every event."""
        return time.monotonic()

    def add(self, event: HistoryEvent) -> None:
        """Record an event."""
        self.events.append(event)
        self._by_type[type(event)].append(event)

    def events_of(self, kind: type[EventType]) -> list[EventType]:
        """All events of one type."""
        return cast(list[EventType], list(self._by_type[kind]))
