"""The requests that clients wait for, their attempts, and the request ids that are reserved."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from load_balancer.events import EndpointId, RequestId
from load_balancer.proxy.downstream.response_slot import ResponseSlot
from load_balancer.proxy.http.headers import REQUEST_ID
from load_balancer.proxy.http.reader import HttpMessage
from load_balancer.proxy.request_guard import RequestGuard
from load_balancer.proxy.upstream.request import UpstreamRequest


@dataclass(slots=True)
class PendingRequest:
    """A request that a client waits for.

    Attributes:
        message: the client's request.
        slot: the place of its response.
        deadline_ms: when it must be answered, on the node's clock.
        deadline_timer: answers it if the policy has not done so by then.
        head: the part of the upstream head that is the same for each attempt.
        guard: the last check of what is written for it.
        attempt_count: attempts that the policy has started.
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
        """The id that the client gave it."""
        return self.message.headers[REQUEST_ID]


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a request; attempts are numbered from 0 for each request."""

    request_id: RequestId
    number: int
    endpoint_id: EndpointId
    started_ms: float


class RequestTable:
    """The open requests and the attempts that are in flight, also those of finished requests."""

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
        """The requests that are not answered."""
        return tuple(self._pending)

    @property
    def attempts_in_flight(self) -> tuple[UpstreamRequest, ...]:
        """The attempts that have not ended."""
        return tuple(self._attempts.values())

    @property
    def reserved_client_ids(self) -> frozenset[bytes]:
        """The client ids that no new request may have."""
        return frozenset(self._reserved)

    # Client ids.

    def is_reserved(self, client_id: bytes) -> bool:
        """Whether a request with this client id is open, or an attempt of one in flight."""
        return client_id in self._reserved

    def reserve(self, client_id: bytes) -> None:
        """Reserve the client id for one more request or attempt."""
        self._reserved[client_id] = self._reserved.get(client_id, 0) + 1

    def release(self, client_id: bytes) -> None:
        """Undo one reservation: the id is free when its request is answered and no attempt is in flight."""
        self._reserved[client_id] -= 1
        if not self._reserved[client_id]:
            del self._reserved[client_id]

    # Requests.

    def next_id(self) -> RequestId:
        """A number that no request has had."""
        self._last_id += 1
        return self._last_id

    def add(self, request_id: RequestId, request: PendingRequest) -> None:
        """Enter a request whose client id has been reserved for it."""
        self._pending[request_id] = request

    def get(self, request_id: RequestId) -> PendingRequest | None:
        """The request, None if it has been answered or was abandoned."""
        return self._pending.get(request_id)

    def finish(self, request_id: RequestId, *, remember: bool) -> PendingRequest | None:
        """Take a request out; None if it is out already.

        Where it is remembered, finished() knows it until forget_finished().
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
        """A finished request that is remembered; KeyError if it is not."""
        return self._finished[request_id]

    def forget_finished(self) -> None:
        """The policy knows of all requests that have finished."""
        self._finished.clear()

    # Attempts.

    def add_attempt(self, attempt: Attempt, upstream_request: UpstreamRequest) -> None:
        """Enter an attempt that has been started."""
        self._attempts[attempt.request_id, attempt.number] = upstream_request

    def get_attempt(self, request_id: RequestId, number: int) -> UpstreamRequest | None:
        """The attempt, None if it has ended."""
        return self._attempts.get((request_id, number))

    def remove_attempt(self, attempt: Attempt) -> None:
        """The attempt has ended."""
        self._attempts.pop((attempt.request_id, attempt.number), None)

    def attempts_of(self, request_id: RequestId, request: PendingRequest) -> Iterator[UpstreamRequest]:
        """The attempts of a request that have not ended, in order; they may end during the iteration."""
        for number in range(request.attempt_count):
            attempt = self.get_attempt(request_id, number)
            if attempt is not None:
                yield attempt
