"""Holds the open requests, their attempts in flight, and the client ids that are reserved."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from load_balancer.events import EndpointId, RequestId
from load_balancer.proxy.downstream.response_slot import ResponseSlot
from load_balancer.proxy.executed_ids import ExecutedIds
from load_balancer.proxy.http.headers import REQUEST_ID
from load_balancer.proxy.http.reader import HttpMessage
from load_balancer.proxy.request_guard import RequestGuard
from load_balancer.proxy.upstream.request import UpstreamRequest


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request whose client is waiting for the response.

    Attributes:
        message: the client's request.
        slot: holds the response until it is sent to the client.
        deadline_ms: the time by which the request must be answered, in milliseconds on the node's clock.
        deadline_timer: answers the request if the policy has not done so by its deadline.
        head: the part of the upstream request's head that is the same for all attempts.
        guard: the last check before an attempt is written or the request is rejected.
        attempt_count: how many attempts the policy has decided on, which is also the next attempt's number.
    """

    message: HttpMessage
    slot: ResponseSlot
    deadline_ms: float
    deadline_timer: asyncio.TimerHandle
    head: bytes
    guard: RequestGuard
    attempt_count: int = 0

    @property
    def client_id(self) -> bytes:
        """The id that the client chose for the request."""
        return self.message.headers[REQUEST_ID]


class Attempt(NamedTuple):
    """One attempt of a request.

    Attributes:
        request_id: the id of the request.
        number: the number of the attempt among the attempts of its request, counted from 0.
        endpoint_id: the id of the endpoint of the attempt.
        started_ms: the time at which the attempt was started, in milliseconds on the node's clock.
    """

    request_id: RequestId
    number: int
    endpoint_id: EndpointId
    started_ms: float


class RequestTable:
    """Holds the open requests, and the attempts in flight of open and of finished requests.

    A client id is reserved while its request is open or an attempt of it is in flight, so that two requests
    with the same id cannot run at the same time.  Afterwards it is remembered if the request may have run and
    its class forbids that it runs again.
    """

    def __init__(self, executed_ids: ExecutedIds) -> None:
        """Create an empty table.

        Args:
            executed_ids: remembers the ids of requests that must not run again.
        """
        self._executed_ids = executed_ids
        self._pending: dict[RequestId, PendingRequest] = {}
        self._finished: dict[RequestId, PendingRequest] = {}
        self._attempts: dict[tuple[RequestId, int], UpstreamRequest] = {}
        self._reserved: dict[bytes, int] = {}  # per client id: number of open requests and attempts in flight
        self._last_id = 0

    def __len__(self) -> int:
        return len(self._pending)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._pending

    @property
    def open_ids(self) -> tuple[RequestId, ...]:
        """The ids of the requests that are not answered."""
        return tuple(self._pending)

    @property
    def attempts_in_flight(self) -> tuple[UpstreamRequest, ...]:
        """The attempts that have not ended."""
        return tuple(self._attempts.values())

    @property
    def reserved_client_ids(self) -> frozenset[bytes]:
        """The client ids that no new request may use."""
        return frozenset(self._reserved)

    # Client ids.

    def may_have_run(self, client_id: bytes) -> bool:
        """Return whether a request with this client id may have run and must not run again."""
        return client_id in self._executed_ids

    def is_reserved(self, client_id: bytes) -> bool:
        """Return whether a request with this client id is open or has an attempt in flight."""
        return client_id in self._reserved

    def reserve(self, client_id: bytes) -> None:
        """Reserve the client id for one more request or attempt."""
        self._reserved[client_id] = self._reserved.get(client_id, 0) + 1

    def release(self, request: PendingRequest) -> None:
        """Release one reservation of the request's client id.

        When no reservation is left, the id may be used again, unless the request must not run again.
        """
        client_id = request.client_id
        self._reserved[client_id] -= 1
        if self._reserved[client_id]:
            return
        del self._reserved[client_id]
        if request.guard.must_not_run_again():
            self._executed_ids.add(client_id)

    # Requests.

    def next_id(self) -> RequestId:
        """Return a new request id."""
        self._last_id += 1
        return self._last_id

    def add(self, request_id: RequestId, request: PendingRequest) -> None:
        """Add a request whose client id has been reserved."""
        self._pending[request_id] = request

    def get(self, request_id: RequestId) -> PendingRequest | None:
        """Return the request, or None if it has been answered or abandoned."""
        return self._pending.get(request_id)

    def finish(self, request_id: RequestId, *, remember: bool) -> PendingRequest | None:
        """Remove a request and release its client id.

        Args:
            request_id: the id of the request.
            remember: whether finished() returns the request until forget_finished() is called.

        Returns:
            The request, or None if it had already been removed.
        """
        request = self._pending.pop(request_id, None)
        if request is not None:
            request.deadline_timer.cancel()
            request.slot.on_abandoned = None
            self.release(request)
            if remember:
                self._finished[request_id] = request
        return request

    def finished(self, request_id: RequestId) -> PendingRequest:
        """Return a finished request that is remembered.

        Raises:
            KeyError: the request is not remembered.
        """
        return self._finished[request_id]

    def forget_finished(self) -> None:
        """Forget the finished requests that are remembered."""
        self._finished.clear()

    # Attempts.

    def add_attempt(self, attempt: Attempt, upstream_request: UpstreamRequest) -> None:
        """Add an attempt that has been started."""
        self._attempts[attempt.request_id, attempt.number] = upstream_request

    def get_attempt(self, request_id: RequestId, number: int) -> UpstreamRequest | None:
        """Return the attempt, or None if it is not in flight."""
        return self._attempts.get((request_id, number))

    def remove_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended."""
        self._attempts.pop((attempt.request_id, attempt.number), None)

    def attempts_of(self, request_id: RequestId, request: PendingRequest) -> Iterator[UpstreamRequest]:
        """Yield the attempts in flight of a request, ordered by number; they may end during the iteration."""
        for number in range(request.attempt_count):
            attempt = self.get_attempt(request_id, number)
            if attempt is not None:
                yield attempt
