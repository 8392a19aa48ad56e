"""Starts requests to stub servers and collects their outcomes."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Mapping

from load_balancer.events import EndpointId, Outcome
from load_balancer.proxy.discovery.endpoint_listing import EndpointListing, ListingReader
from load_balancer.proxy.http.reader import HttpMessage
from load_balancer.proxy.upstream.pools import UpstreamPools
from load_balancer.proxy.upstream.request import OutboundRequest, UpstreamRequest
from tests.proxy.async_support import TIMEOUT_S
from tests.proxy.stub_discovery import listing, row

REQUEST = b"GET /api/x HTTP/1.1\r\nHost: h\r\n\r\n"

OutcomeAndBody = tuple[Outcome, bytes]


def endpoint_listing(version: int, *rows: Mapping[str, object], reset: bool = True) -> EndpointListing:
    """Return an endpoint list, or a change to one if ``reset`` is False."""
    return ListingReader((), ()).read(listing(version, *rows, reset=reset))


class SampleRequest(OutboundRequest):
    """A request whose outcome is passed to a function."""

    def __init__(self, on_outcome: Callable[[Outcome, HttpMessage | None], None]) -> None:
        self._on_outcome = on_outcome

    def render(self, seconds_left: float) -> bytes:
        """Return fixed request bytes; the time that is left is ignored."""
        return REQUEST

    def on_end(self, outcome: Outcome, response: HttpMessage | None) -> None:
        """Pass the outcome to the function."""
        self._on_outcome(outcome, response)


class UpstreamHarness:
    """Sends requests through connection pools and collects their outcomes.

    Attributes:
        pools: the pools under test.
        outcomes: every outcome that was reported, in order.
    """

    def __init__(self, pools: UpstreamPools) -> None:
        self.pools = pools
        self.outcomes: list[Outcome] = []

    def start(
        self, timeout_s: float = TIMEOUT_S, endpoint_id: EndpointId = b"a"
    ) -> tuple[UpstreamRequest, asyncio.Future[OutcomeAndBody]]:
        """Start a request.

        Returns:
            The request, and a future of its outcome and the body of its response.
        """
        future: asyncio.Future[OutcomeAndBody] = asyncio.get_running_loop().create_future()

        def on_outcome(outcome: Outcome, response: HttpMessage | None) -> None:
            self.outcomes.append(outcome)
            future.set_result((outcome, response.body if response is not None else b""))

        return self.pools.start_request(endpoint_id, SampleRequest(on_outcome), timeout_s), future

    async def send(self, timeout_s: float = TIMEOUT_S, endpoint_id: EndpointId = b"a") -> OutcomeAndBody:
        """Send a request and return its outcome and the body of its response."""
        return await self.start(timeout_s, endpoint_id)[1]

    def update(self, version: int, *rows: Mapping[str, object], reset: bool = True) -> list[EndpointId]:
        """Apply an endpoint list or a change to the pools; return the endpoints that were replaced."""
        return self.pools.update(endpoint_listing(version, *rows, reset=reset))


@contextlib.asynccontextmanager
async def upstream(
    address: str, *, max_open: int = 100, endpoint_idle_s: float = 30.0
) -> AsyncIterator[UpstreamHarness]:
    """Provide a harness whose endpoint list contains the endpoint "a" at this address."""
    harness = UpstreamHarness(
        UpstreamPools(connect_timeout_s=0.15, endpoint_idle_s=endpoint_idle_s, max_open=max_open)
    )
    harness.update(1, row("a", address))
    try:
        yield harness
    finally:
        harness.pools.close()
