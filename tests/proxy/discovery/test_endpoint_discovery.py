"""Tests that silent watches are replaced, and that a new address of discovery is used."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from load_balancer.policy.endpoints import MAX_POLL_BACKOFF_MS
from load_balancer.proxy.discovery import address_lag, watch_timing
from load_balancer.proxy.discovery import watch as discovery_watch
from load_balancer.proxy.discovery.endpoint_discovery import DiscoveryState
from load_balancer.proxy.node import Node
from tests.proxy.async_support import TIMEOUT_S, async_test, until
from tests.proxy.node_environment import NodeEnvironment, running_node
from tests.proxy.stub_discovery import StubDiscovery, listing, row, send_line
from tests.proxy.stub_server import StubServer, reply

# When a watch has been silent for this time, the node counts as notified of the changes that it has missed.
NOTIFIED_S = 6.0


async def _bodies(environment: NodeEnvironment, requests: int) -> set[bytes]:
    """Send this many requests on one connection and return the set of response bodies."""
    client = await environment.connect_client()
    return {(await client.fetch("look")).body for _ in range(requests)}


# ---------------------------------------------------------------- silence


def test_timeouts_leave_time_for_third_watch() -> None:
    """Check that a change is received in time if a watch falls silent and the next watch fails.

    The longest timeouts and delays must leave time for the third watch, both if lists are pushed and if they
    are polled.
    """
    pushed = watch_timing.MAX_RESPONSE_TIMEOUT_S + watch_timing.MAX_RECONNECT_DELAY_S
    polled = watch_timing.MAX_RESPONSE_TIMEOUT_S + MAX_POLL_BACKOFF_MS / 1000.0
    silence = discovery_watch.SILENCE_TIMEOUT_S
    assert discovery_watch.HEARTBEAT_INTERVAL_S < silence <= NOTIFIED_S - 2 * pushed
    assert 2 * polled < NOTIFIED_S and silence + polled < NOTIFIED_S


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@async_test
async def test_change_missed_by_silent_watch_arrives_in_time_though_next_watch_fails(mode: str) -> None:
    """The watch falls silent, and discovery accepts the next watch without sending a response.

    The test runs with the real timeouts.  The time limit does not depend on the settings, so the test uses
    settings with which the policy may poll only rarely.
    """
    rare_polls = {"mustAskInMs": 600_000.0, "stopSendingWithinMs": 20_000.0}
    loop = asyncio.get_running_loop()
    async with (
        StubServer([reply("200 OK", b"a")]) as one,
        StubServer([reply("200 OK", b"b")]) as two,
        running_node(
            row("a", one.address), row("b", two.address), registryMode=mode, guarantees=rare_polls
        ) as environment,
    ):
        send_line(await environment.discovery.watch(), listing(2, reset=False))
        await until(lambda: environment.endpoint_discovery.version == 2)
        silence_began = loop.time()
        environment.discovery.sends_no_response = True
        await environment.discovery.watch()
        environment.discovery.sends_no_response = False
        send_line(
            await environment.discovery.watch(), listing(3, row("a", one.address, "DRAINING"), reset=False)
        )
        await until(lambda: environment.endpoint_discovery.version == 3)
        assert loop.time() - silence_began < NOTIFIED_S
        assert await _bodies(environment, requests=5) == {b"b"}


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@async_test
async def test_drain_missed_by_silent_watch_is_applied(mode: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_watch, "SILENCE_TIMEOUT_S", 0.05)
    async with (
        StubServer([reply("200 OK", b"a")]) as one,
        StubServer([reply("200 OK", b"b")]) as two,
        running_node(row("a", one.address), registryMode=mode) as environment,
    ):
        silent = await environment.discovery.watch()
        send_line(silent, listing(2, row("b", two.address), reset=False))
        reopened = await environment.discovery.watch()
        assert environment.discovery.targets[-1].endswith("from=2")
        send_line(reopened, listing(3, row("a", one.address, "DRAINING"), reset=False))
        await until(lambda: environment.endpoint_discovery.version == 3)
        assert await _bodies(environment, requests=5) == {b"b"}


@async_test
async def test_watch_without_response_is_reopened() -> None:
    """Check that a watch without a response is soon replaced.

    While discovery is down, its agent accepts watches but does not respond.
    """
    guarantees = {"mustAskInMs": 60_000.0, "stopSendingWithinMs": 250.0}
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(has_cached_list=False, registryMode="pushed", guarantees=guarantees) as environment,
    ):
        await environment.discovery.watch()
        environment.discovery.sends_no_response = True
        environment.endpoint_discovery.subscribe()
        await environment.discovery.watch()
        environment.discovery.sends_no_response = False
        send_line(await environment.discovery.watch(), listing(7, row("a", endpoint.address)))
        await until(lambda: environment.endpoint_discovery.version == 7)


@async_test
async def test_slow_discovery_is_heard_although_the_first_poll_gives_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Each poll was given up after 1 s, so that a node never heard a discovery that takes longer, and sent to
    # a draining endpoint for as long as it ran.
    slow_s = 0.3
    rare_polls = {"mustAskInMs": 10_000.0, "stopSendingWithinMs": 1000.0}
    monkeypatch.setattr(watch_timing, "MAX_RESPONSE_TIMEOUT_S", 0.2)
    async with (
        StubServer([reply("200 OK", b"a")]) as one,
        StubServer([reply("200 OK", b"b")]) as two,
        running_node(row("a", one.address), registryMode="on_request", guarantees=rare_polls) as environment,
    ):
        environment.discovery.sends_no_response = True
        await environment.discovery.watch()
        slow = await environment.discovery.watch()
        await asyncio.sleep(slow_s)
        slow.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        send_line(slow, listing(2, row("b", two.address)))
        await until(lambda: environment.endpoint_discovery.version == 2)
        assert await _bodies(environment, requests=5) == {b"b"}


def test_response_timeout_grows_only_while_polled_discovery_is_slow() -> None:
    polled = watch_timing.WatchTiming(pushed=False, poll_timeout_s=4.0, drain_grace_s=1.0)
    timeouts = []
    for _ in range(3):
        timeouts.append(polled.response_timeout_s)
        polled.record_no_response()
    assert timeouts == [1.0, 2.0, 2.0]
    polled.record_input(watch_age_s=1.5)
    assert polled.response_timeout_s == 2.0, "discovery is still slow"
    polled.record_input(watch_age_s=0.1)
    assert polled.response_timeout_s == 1.0
    pushed = watch_timing.WatchTiming(pushed=True, poll_timeout_s=4.0, drain_grace_s=1.0)
    pushed.record_no_response()
    assert pushed.response_timeout_s == 0.4


# ---------------------------------------------------------------- changes of the address


def _move(node: Node, path: Path, address: str) -> None:
    """Reload the configuration of the node with this address of discovery."""
    path.write_text(json.dumps({"discovery": address}))
    node.reload()


def _state(environment: NodeEnvironment) -> DiscoveryState:
    return environment.endpoint_discovery.state


async def _reconnect_timer(environment: NodeEnvironment) -> asyncio.TimerHandle:
    """Wait until a reconnect backoff has begun and return its timer."""
    timer = await until(lambda: environment.endpoint_discovery.reconnect_timer)
    assert timer is not None
    return timer


@async_test
async def test_second_move_cancels_reconnect_to_first(tmp_path: Path) -> None:
    """Check that the second move cancels the backoff after the first move.

    The backoff would otherwise open another watch, and the end of that watch would close the working watch.
    """
    config = tmp_path / "config.json"
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        StubDiscovery() as first,
        StubDiscovery() as second,
        running_node(row("a", endpoint.address), path=str(config), registryMode="pushed") as environment,
    ):
        send_line(await environment.discovery.watch(), listing(2, row("a", endpoint.address)))
        await until(lambda: environment.endpoint_discovery.version == 2)
        _move(environment.node, config, first.address)
        (await first.watch()).transport.abort()
        reconnect_timer = await _reconnect_timer(environment)
        assert _state(environment) is DiscoveryState.MOVE_BACKOFF
        _move(environment.node, config, second.address)
        assert reconnect_timer.cancelled()
        send_line(await second.watch(), listing(3, reset=False))
        await until(lambda: environment.endpoint_discovery.version == 3)
        await asyncio.wait_for(environment.discovery.disconnected.wait(), TIMEOUT_S)
        assert second.watches.empty() and len(first.targets) == 1
        assert _state(environment) is DiscoveryState.WATCHING


@async_test
async def test_move_replaces_pending_reconnect(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        StubDiscovery() as moved,
        running_node(row("a", endpoint.address), path=str(config), registryMode="pushed") as environment,
    ):
        (await environment.discovery.watch()).transport.abort()
        reconnect_timer = await _reconnect_timer(environment)
        assert _state(environment) is DiscoveryState.RECONNECT_BACKOFF
        _move(environment.node, config, moved.address)
        assert _state(environment) is DiscoveryState.MOVING
        assert reconnect_timer.cancelled()
        send_line(await moved.watch(), listing(3, row("a", endpoint.address)))
        await until(lambda: environment.endpoint_discovery.version == 3)
        assert len(environment.discovery.targets) == 1


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@async_test
async def test_new_address_that_lags_does_not_bring_back_a_draining_endpoint(
    mode: str, tmp_path: Path
) -> None:
    # After SIGHUP a node took the older list of the new address, and sent requests to a draining endpoint
    # again.
    config = tmp_path / "config.json"
    async with (
        StubServer([reply("200 OK", b"a")]) as one,
        StubServer([reply("200 OK", b"b")]) as two,
        StubDiscovery() as moved,
        running_node(
            row("a", one.address), row("b", two.address), path=str(config), registryMode=mode
        ) as environment,
    ):
        rows = row("a", one.address), row("b", two.address)
        drain = listing(3, row("a", one.address, "DRAINING"), reset=False)
        watch = await environment.discovery.watch()
        send_line(watch, listing(2, *rows))
        send_line(watch, drain)
        await until(lambda: environment.endpoint_discovery.version == 3)
        _move(environment.node, config, moved.address)
        lagging = await moved.watch()
        assert moved.targets[-1].endswith("from=3")
        send_line(lagging, listing(1, row("a", one.address)))
        send_line(lagging, listing(2, *rows, reset=False))
        await until(lambda: environment.endpoint_discovery.watch is not None and _is_moved(environment))
        assert await _bodies(environment, requests=5) == {b"b"}
        assert environment.endpoint_discovery.version == 3
        send_line(lagging, drain)
        send_line(lagging, listing(4, row("a", one.address), row("b", two.address, "DRAINING"), reset=False))
        await until(lambda: environment.endpoint_discovery.version == 4)
        assert await _bodies(environment, requests=5) == {b"a"}


def _is_moved(environment: NodeEnvironment) -> bool:
    discovery = environment.endpoint_discovery
    return discovery.successor is None and discovery.state is DiscoveryState.WATCHING


@async_test
async def test_list_of_address_that_numbers_anew_is_taken_after_the_longest_lag(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(address_lag, "MAX_LAG_S", 0.1)
    config = tmp_path / "config.json"
    async with (
        StubServer([reply("200 OK", b"a")]) as one,
        StubServer([reply("200 OK", b"b")]) as two,
        StubDiscovery() as moved,
        running_node(row("a", one.address), path=str(config), registryMode="pushed") as environment,
    ):
        send_line(await environment.discovery.watch(), listing(50, row("a", one.address)))
        await until(lambda: environment.endpoint_discovery.version == 50)
        _move(environment.node, config, moved.address)
        send_line(await moved.watch(), listing(7, row("b", two.address)))
        reopened = await moved.watch()
        assert moved.targets[-1].endswith("from=0")
        send_line(reopened, listing(7, row("b", two.address)))
        await until(lambda: environment.endpoint_discovery.version == 7)
        assert await _bodies(environment, requests=5) == {b"b"}


@async_test
async def test_lower_version_at_the_same_address_is_taken() -> None:
    """Check that only a change of the address makes a lower version doubtful."""
    async with (
        StubServer([reply("200 OK", b"a")]) as one,
        StubServer([reply("200 OK", b"b")]) as two,
        running_node(row("a", one.address), registryMode="pushed") as environment,
    ):
        watch = await environment.discovery.watch()
        send_line(watch, listing(50, row("a", one.address)))
        send_line(watch, listing(7, row("b", two.address)))
        await until(lambda: environment.endpoint_discovery.version == 7)
        assert await _bodies(environment, requests=5) == {b"b"}
