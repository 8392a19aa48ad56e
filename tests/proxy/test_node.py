"""Tests of a node between clients and endpoints: which requests it forwards, retries and answers."""

from __future__ import annotations

import pytest

from load_balancer.actions import Action, CloseIdleConnections
from load_balancer.events import Event, Outcome
from load_balancer.proxy.event_loop.clock import Clock
from load_balancer.proxy.node import Node
from tests.proxy.async_support import HOST, async_test
from tests.proxy.node_environment import running_node
from tests.proxy.policy_recorder import PolicyRecorder, replace_policy
from tests.proxy.sample_settings import settings
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, raw, reply, reset, when_released

BODY = bytes(range(256)) * 4


def _keep_idle_connections(node: Node) -> None:
    """Remove the actions with which the policy closes idle connections before it sends a request."""

    def handle_without_closing(event: Event, now: float) -> list[Action]:
        return [action for action in handle(event, now) if not isinstance(action, CloseIdleConnections)]

    handle = replace_policy(node, handle_without_closing)


@pytest.mark.usefixtures("no_reuse_delay")
@async_test
async def test_served_request_passes_through_unchanged() -> None:
    async with (
        StubServer([reply("200 OK", BODY)]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        client = await environment.connect_client()
        response = await client.fetch(
            "move", target="/api/k1?x=%20y", body=BODY, deadline="2.5", name="9b1f03aa5c7e2d41"
        )
        assert (response.status, response.body) == (200, BODY)
        (received,) = endpoint.received
        assert (received.method, received.target, received.body) == ("POST", "/api/k1?x=%20y", BODY)
        assert received.headers["x-request-id"] == "9b1f03aa5c7e2d41"
        assert received.headers["idempotency-key"] == "5c0f6e1a2b3d4c59"
        assert 0.0 < float(received.headers["x-deadline"]) < 2.5
        assert (await client.fetch("look")).status == 200
        assert endpoint.accepted_connections == 1, "the idle connection was not used again"


@async_test
async def test_request_rejected_by_every_endpoint_gets_503_with_retry_after() -> None:
    rejection = reply("503 Service Unavailable", extra="X-Not-Run: 1\r\n")
    async with StubServer([rejection]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        response = await (await environment.connect_client()).fetch("book")
        assert response.status == 503
        assert 0.0 < float(response.headers["retry-after"]) <= 2.0


@async_test
async def test_rejected_non_idempotent_request_is_retried() -> None:
    rejection = reply("503 Service Unavailable", extra="X-Not-Run: 1\r\n")
    async with (
        StubServer([rejection, reply("200 OK", b"b")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        assert (await (await environment.connect_client()).fetch("book")).status == 200
        assert len(endpoint.received) == 2


@pytest.mark.parametrize("behaviour", [reply("500 Internal Server Error"), reset, raw(b"nonsense\r\n\r\n")])
@async_test
async def test_non_idempotent_request_that_may_have_run_fails_without_retry(behaviour: object) -> None:
    async with (
        StubServer([behaviour]) as endpoint_a,  # type: ignore[list-item]
        StubServer([behaviour]) as endpoint_b,  # type: ignore[list-item]
        running_node(row("a", endpoint_a.address), row("b", endpoint_b.address)) as environment,
    ):
        response = await (await environment.connect_client()).fetch("book", body=b"slot")
        assert response.status == 502
        assert "retry-after" not in response.headers
        assert len(endpoint_a.received) + len(endpoint_b.received) == 1


@pytest.mark.usefixtures("no_reuse_delay")
@async_test
async def test_idle_connection_that_breaks_after_write_causes_no_resend() -> None:
    """HTTP clients often resend a request if its idle connection breaks; a node must not resend it."""
    async with (
        StubServer([reply("200 OK"), reset]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        _keep_idle_connections(environment.node)  # even if the machine is slow between the two requests
        client = await environment.connect_client()
        assert (await client.fetch("book")).status == 200
        assert (await client.fetch("book")).status == 502
        assert (len(endpoint.received), endpoint.accepted_connections) == (2, 1)


@pytest.mark.usefixtures("no_reuse_delay")
@async_test
async def test_non_idempotent_request_avoids_idle_connection_of_vanished_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Connections to a vanished machine stay open without data; only a new connection shows the fault."""
    async with (
        StubServer([reply("200 OK")]) as endpoint_a,
        StubServer([reply("200 OK")]) as endpoint_b,
        running_node(row("a", endpoint_a.address), row("b", endpoint_b.address)) as environment,
    ):
        client = await environment.connect_client()
        while not (endpoint_a.received and endpoint_b.received):
            assert (await client.fetch("look")).status == 200
        endpoint_a.vanish()
        now = Clock.now
        # From here on, the endpoint has sent nothing for one second.
        monkeypatch.setattr(Clock, "now", lambda clock: now(clock) + 1000.0)
        recorder = PolicyRecorder(environment.node)
        for _ in range(12):
            assert (await client.fetch("book", deadline="1.0")).status == 200
        assert any(outcome is Outcome.CONNECT_FAILED for outcome in recorder.outcomes)
        assert {received.method for received in endpoint_a.received} == {"GET"}


@async_test
async def test_late_bytes_of_abandoned_attempt_reach_no_other_request() -> None:
    behaviours = [when_released(reply("200 OK", b"old")), reply("200 OK", b"new")]
    async with StubServer(behaviours) as endpoint, running_node(row("a", endpoint.address)) as environment:
        client = await environment.connect_client()
        assert (await client.fetch("book", deadline="0.3")).status == 502
        endpoint.release.set()
        assert (await client.fetch("book")).body == b"new"
        assert endpoint.accepted_connections == 2


@async_test
async def test_sample_settings_are_read_completely() -> None:
    """If a key were renamed, its default would be used, and the other tests would not notice."""
    names = {c["name"] for c in settings()["profiles"]}
    async with running_node(row("a", f"{HOST}:1")) as environment:
        assert {c.name for c in environment.node.config.settings.classes} == names
        assert environment.node.config.settings.poll_endpoint_list
