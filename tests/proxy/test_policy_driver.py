"""Tests that the policy sees one event at a time, and that its faults affect single requests only."""

from __future__ import annotations

from load_balancer.actions import Action
from load_balancer.events import Event, RequestAbandoned
from tests.proxy.async_support import async_test
from tests.proxy.node_environment import running_node
from tests.proxy.policy_recorder import replace_policy
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply


@async_test
async def test_policy_fault_fails_one_request_alone() -> None:
    async with (
        StubServer([reply("200 OK", b"fine")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):

        def fail_once(_: Event, __: float) -> list[Action]:
            replace_policy(environment.node, handle)
            raise RuntimeError("raised by the test")

        handle = replace_policy(environment.node, fail_once)
        client = await environment.connect_client()
        assert (await client.fetch("look")).status == 500
        assert (await client.fetch("look")).body == b"fine"


@async_test
async def test_event_during_decision_is_queued_until_policy_returns() -> None:
    """An attempt that ends while it is being started must not be reported within the same decision."""
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        is_deciding, event_count = False, 0

        def handle_and_check(event: Event, now: float) -> list[Action]:
            nonlocal is_deciding, event_count
            assert not is_deciding, "an event was handled while the policy was deciding"
            is_deciding, event_count = True, event_count + 1
            if event_count == 1:
                environment.node.handle_event(RequestAbandoned(99))
            actions = handle(event, now)
            is_deciding = False
            return actions

        handle = replace_policy(environment.node, handle_and_check)
        assert (await (await environment.connect_client()).fetch("look")).status == 200
        assert event_count >= 3, "the event that was reported during the decision was dropped"
