"""The policy sees one event at a time, and its faults are contained."""

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
            raise RuntimeError("planted")

        handle = replace_policy(environment.node, fail_once)
        client = await environment.connect_client()
        assert (await client.fetch("look")).status == 500
        assert (await client.fetch("look")).body == b"fine"


@async_test
async def test_event_from_within_a_decision_waits_until_policy_has_returned() -> None:
    """An attempt that ends while it is being started must not be reported within the same decision."""
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        inside, seen = False, 0

        def watched(event: Event, now: float) -> list[Action]:
            nonlocal inside, seen
            assert not inside, "an event came while the policy was deciding"
            inside, seen = True, seen + 1
            if seen == 1:
                environment.node.handle_event(RequestAbandoned(99))
            actions = handle(event, now)
            inside = False
            return actions

        handle = replace_policy(environment.node, watched)
        assert (await (await environment.connect_client()).fetch("look")).status == 200
        assert seen >= 3, "the event that came in between was dropped"
