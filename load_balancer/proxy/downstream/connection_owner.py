"""The interfaces of the server and of its connection table, as a client connection uses them."""

from __future__ import annotations

import typing

from load_balancer.proxy.downstream.input_pacer import InputPacer
from load_balancer.proxy.downstream.memory_budget import MemoryBudget
from load_balancer.proxy.downstream.response_slot import ResponseSlot
from load_balancer.proxy.event_loop.loop_iterations import LoopIterations
from load_balancer.proxy.http.reader import HttpMessage
from load_balancer.proxy.observability.counters import NodeCounters
from load_balancer.proxy.observability.rule_monitor import RuleMonitor

if typing.TYPE_CHECKING:
    from load_balancer.proxy.downstream.connection import DownstreamConnection


class EvictionTable(typing.Protocol):
    """The interface of a connection table that its connections use to update the order of eviction."""

    def update_eviction(self, connection: DownstreamConnection) -> None:
        """Move the connection to the end of the eviction queue of its current priority."""

    def refresh_eviction(self, connection: DownstreamConnection) -> None:
        """Requeue the connection if its eviction priority has changed; otherwise keep its position."""


class ConnectionOwner(typing.Protocol):
    """The interface of a server that its connections use."""

    iterations: LoopIterations
    counters: NodeCounters
    rules: RuleMonitor
    pacer: InputPacer

    @property
    def memory(self) -> MemoryBudget[DownstreamConnection]:
        """Counts the memory that the connections hold."""

    @property
    def table(self) -> EvictionTable:
        """The table of the open connections of the server, which may evict them."""

    @property
    def draining(self) -> bool:
        """Whether the server is draining, so that responses close their connections."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def connection_opened(self, connection: DownstreamConnection) -> None:
        """Handle a newly accepted connection."""

    def connection_closed(self, connection: DownstreamConnection) -> None:
        """Handle a connection that has been closed or lost."""

    def reading_paused(self, connection: DownstreamConnection) -> None:
        """Handle a pause in reading from the connection."""

    def reading_resumed(self, connection: DownstreamConnection) -> None:
        """Handle the resumption of reading from the connection."""

    def route(self, message: HttpMessage, slot: ResponseSlot) -> bool:
        """Answer a request or pass it on to be forwarded.

        Returns:
            Whether it was a valid request under /api.

        Raises:
            HttpMessageError: the request is invalid, or the node does not serve its path or method.
        """

    def release_memory(self, slot: ResponseSlot) -> None:
        """Stop counting the request of this slot towards the limit on memory."""

    def shed_incomplete_requests(self) -> None:
        """Refuse incomplete requests while more memory is held than allowed, if there are any."""
