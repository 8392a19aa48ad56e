"""Observes a node's policy, and forces the order of events around a node.

The order is kept by barriers in what surrounds the node, never by sleeping; connections are real ones.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterable
from typing import Any

import pytest

from load_balancer.actions import Action, FailRequest, RejectRequest, SendAttempt
from load_balancer.events import (
    AttemptEnded,
    EndpointId,
    Event,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    RequestId,
)
from load_balancer.proxy.downstream.connection import DownstreamConnection
from load_balancer.proxy.node import Node
from load_balancer.proxy.request_table import RequestTable
from tests.proxy.fakes import TIMEOUT_S, NodeEnvironment, StubServer, request, settings, until

Handle = Callable[[Event, float], list[Action]]
"""What a policy does with one event."""

# ---------------------------------------------------------------- the policy


def replace_policy(node: Node, handle: Handle) -> Handle:
    """Have this function decide in place of the node's policy; gives what has decided until now."""
    replaced = node.policy.handle
    node.policy.handle = handle  # type: ignore[method-assign]
    return replaced


def ignore_events(_: Event, __: float) -> list[Action]:
    """A policy that never decides anything."""
    return []


class PolicyRecorder:
    """Records what a node tells its policy, and what of it is still open.

    Attributes:
        events: all events, in order.
        open_requests: the requests that the policy was told of and that have not ended.
        open_attempts: the attempts that the policy has started and was not told the end of.
        on_attempt: called with each attempt's endpoint before the node starts it.
    """

    def __init__(self, node: Node) -> None:
        self.events: list[Event] = []
        self.open_requests: set[RequestId] = set()
        self.open_attempts: set[tuple[RequestId, int]] = set()
        self.on_attempt: Callable[[EndpointId], None] | None = None
        self._attempt_counts: dict[RequestId, int] = {}
        self._handle = replace_policy(node, self._record)

    def _record(self, event: Event, now: float) -> list[Action]:
        self.events.append(event)
        if isinstance(event, RequestArrived):
            self.open_requests.add(event.request_id)
        elif isinstance(event, RequestAbandoned):
            self.open_requests.discard(event.request_id)
        elif isinstance(event, AttemptEnded):
            self.open_attempts.remove((event.request_id, event.attempt_number))
            if event.finished:
                self.open_requests.discard(event.request_id)
        actions = self._handle(event, now)
        for action in actions:
            self._record_action(action)
        return actions

    def _record_action(self, action: Action) -> None:
        if isinstance(action, SendAttempt):
            number = self._attempt_counts.get(action.request_id, 0)
            self._attempt_counts[action.request_id] = number + 1
            self.open_attempts.add((action.request_id, number))
            if self.on_attempt is not None:
                self.on_attempt(action.endpoint_id)
        elif isinstance(action, RejectRequest | FailRequest):
            self.open_requests.discard(action.request_id)

    @property
    def nothing_open(self) -> bool:
        """Whether the policy was told the end of every request and of every attempt."""
        return not self.open_requests and not self.open_attempts

    @property
    def outcomes(self) -> list[Outcome]:
        """The outcomes of all attempts that have ended, in order."""
        return [event.outcome for event in self.events if isinstance(event, AttemptEnded)]

    @property
    def budgets(self) -> list[float]:
        """The time in milliseconds that the policy was given for each request."""
        return [event.budget_ms for event in self.events if isinstance(event, RequestArrived)]


def policy_limits(**changes: Any) -> dict[str, Any]:
    """The policy's limits with these changes, as a part of the settings."""
    return {"policyLimits": {**settings()["policyLimits"], **changes}}


def nothing_left(requests: RequestTable) -> bool:
    """Whether no request is open, no attempt in flight, and no client id reserved."""
    return not requests and not requests.attempts_in_flight and not requests.reserved_client_ids


# ---------------------------------------------------------------- connections to endpoints

# Connections that a test delays are waited for as long as it takes.
LONG_CONNECT_TIMEOUT = policy_limits(connectTimeoutMs=1000.0 * TIMEOUT_S)


class DelayedConnections:
    """Has connections to some endpoints come up only when released; all others are not delayed.

    Attributes:
        begun: a connection is being delayed.
        release: all connections come up from now on.
        opening: connections that have begun and have neither come up nor failed.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, endpoints: Iterable[StubServer]) -> None:
        loop = asyncio.get_running_loop()
        self.begun = asyncio.Event()
        self.release = asyncio.Event()
        self.opening = 0
        self._delayed: set[str] = set()
        self._create_connection = loop.create_connection
        self.delay(endpoints)
        monkeypatch.setattr(loop, "create_connection", self._delay_connection)

    def delay(self, endpoints: Iterable[StubServer]) -> None:
        """Delay connections to these endpoints, too."""
        self._delayed.update(endpoint.address for endpoint in endpoints)

    async def _delay_connection(self, factory: Any, host: str, port: int, **options: Any) -> Any:
        if f"{host}:{port}" not in self._delayed:
            return await self._create_connection(factory, host, port, **options)
        self.begun.set()
        self.opening += 1
        try:
            await self.release.wait()
            return await self._create_connection(factory, host, port, **options)
        finally:
            self.opening -= 1


# ---------------------------------------------------------------- clients


def open_requests(count: int) -> bytes:
    """Requests that do not end by themselves while a test runs."""
    return b"".join(request("book", deadline="600") for _ in range(count))


def blocking_client(address: tuple[str, int]) -> socket.socket:
    """A client with a request sent, which acts at once while the node's loop stands still."""
    client = socket.create_connection(address, timeout=TIMEOUT_S)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    client.sendall(request("look"))
    return client


async def answered_client(environment: NodeEnvironment) -> tuple[socket.socket, DownstreamConnection]:
    """A blocking client whose request has been answered, and the node's end of its connection."""
    client = blocking_client(environment.address)
    (connection,) = await until(lambda: [c for c in environment.node.downstream.connections if c.answered])
    return client, connection


async def read_to_end(client: socket.socket) -> bytes:
    """Everything that the client receives until its connection ends."""
    client.setblocking(False)
    received = b""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(ConnectionError):
        while part := await asyncio.wait_for(loop.sock_recv(client, 4096), TIMEOUT_S):
            received += part
    return received


async def connect_with_small_buffers(
    client: socket.socket, environment: NodeEnvironment
) -> DownstreamConnection:
    """Connect so that a long response does not fit the buffers; gives the node's end of the connection."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, environment.address)
    (connection,) = await until(lambda: list(environment.node.downstream.connections))
    assert connection.client_socket is not None
    connection.client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
    return connection
