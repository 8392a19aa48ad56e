"""The open requests, their attempts in flight, and the client ids that are reserved."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from load_balancer.events import EndpointId, RequestId
from load_balancer.proxy.downstream.response_slot import ResponseSlot
from load_balancer.proxy.http.headers import REQUEST_ID
from load_balancer.proxy.http.reader import HttpMessage
from load_balancer.proxy.request_guard import RequestGuard
from load_balancer.proxy.upstream.request import UpstreamRequest


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request whose client waits for the response.

    Attributes:
        message: the client's request.
        slot: receives the response.
        deadline_ms: when the request must be answered, on the node's clock.
        deadline_timer: answers the request if the policy has not done so by its deadline.
        head: the part of the upstream request head that all attempts share.
        guard: the last check before an attempt is written or the request is rejected.
        attempt_count: how many attempts the policy has decided on; numbers the next attempt.
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
    """One attempt of a request.  The attempts of each request are numbered from 0."""

    request_id: RequestId
    number: int
    endpoint_id: EndpointId
    started_ms: float


class RequestTable:
    """The open requests, and the attempts in flight of open and of finished requests.

    A client id is reserved while its request is open or an attempt of it is in flight, so that two requests
    with the same id cannot run at the same time.
    """

    def __init__(self) -> None:
        self._pending: dict[RequestId, PendingRequest] = {}
        self._finished: dict[RequestId, PendingRequest] = {}
        self._attempts: dict[tuple[RequestId, int], UpstreamRequest] = {}
        self._reserved: dict[bytes, int] = {}  # by client id: open requests and attempts in flight
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

    def is_reserved(self, client_id: bytes) -> bool:
        """Whether a request with this client id is open or an attempt of it is in flight."""
        return client_id in self._reserved

    def reserve(self, client_id: bytes) -> None:
        """Reserve the client id for one more request or attempt."""
        self._reserved[client_id] = self._reserved.get(client_id, 0) + 1

    def release(self, client_id: bytes) -> None:
        """Release one reservation of the client id; the id is free when none is left."""
        self._reserved[client_id] -= 1
        if not self._reserved[client_id]:
            del self._reserved[client_id]

    # Requests.

    def next_id(self) -> RequestId:
        """A new request id."""
        self._last_id += 1
        return self._last_id

    def add(self, request_id: RequestId, request: PendingRequest) -> None:
        """Add a request whose client id has been reserved."""
        self._pending[request_id] = request

    def get(self, request_id: RequestId) -> PendingRequest | None:
        """The request, None if it has been answered or abandoned."""
        return self._pending.get(request_id)

    def finish(self, request_id: RequestId, *, remember: bool) -> PendingRequest | None:
        """Remove a request; if it is remembered, finished() returns it until forget_finished() is called.

        Returns:
            The request, None if it has been removed before.
        """
        request = self._pending.pop(request_id, None)
        if request is not None:
            request.deadline_timer.cancel()
            request.slot.on_abandoned = None
            self.release(request.client_id)
            if remember:
                self._finished[request_id] = request
        return request

    def finished(self, request_id: RequestId) -> PendingRequest:
        """A finished request that is remembered.

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
        """The attempt in flight, None if it has ended."""
        return self._attempts.get((request_id, number))

    def remove_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended."""
        self._attempts.pop((attempt.request_id, attempt.number), None)

    def attempts_of(self, request_id: RequestId, request: PendingRequest) -> Iterator[UpstreamRequest]:
        """The attempts of a request that are in flight, by number; they may end during the iteration."""
        for number in range(request.attempt_count):
            attempt = self.get_attempt(request_id, number)
            if attempt is not None:
                yield attempt
