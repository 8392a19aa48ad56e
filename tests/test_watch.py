"""What a watch carries, and the ways in which it ends: silence, garble, a move of discovery."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from typing import Any

import pytest

from load_balancer.policy.endpoints import POLL_BACKOFF_MAX_MS
from load_balancer.proxy import discovery
from load_balancer.proxy.discovery import ListError, Naming
from load_balancer.proxy.json_stream import MAX_OBJECT, GarbledError, Objects
from load_balancer.proxy.server import Node
from tests.stubs import (
    HOST,
    PATIENCE_S,
    StubDiscovery,
    StubServer,
    listing,
    reply,
    row,
    run,
    tell,
    until,
    world,
)

LIST = listing(42, row('br{ace"d', "127.0.0.1:1"), row("b\\n", "127.0.0.1:2", "DRAINING"))
TOLD_S = 6.0  # after a watch fell silent, what it missed counts as told


# ---------------------------------------------------------------- objects out of pieces


@pytest.mark.parametrize("indent", [None, 0, 2, "\t"])
@pytest.mark.parametrize("size", [1, 2, 7, 64, 100_000])
def test_lists_are_read_however_they_are_laid_out_and_cut_into_pieces(indent: Any, size: int) -> None:
    text = json.dumps(LIST, indent=indent).encode()
    stream = b"\n\n" + text + b"\n\r\n \n" + text + b"\n" + text + text + b"\n"
    objects = Objects()
    whole: list[bytes] = []
    for begin in range(0, len(stream), size):
        whole += objects.feed(stream[begin : begin + size])
    assert [json.loads(one) for one in whole] == [LIST] * 4
    assert not objects.within


@pytest.mark.parametrize(
    "garbled",
    [
        b"nonsense\n",
        b"{nonsense\n",
        b"[1]\n",
        b"5\n",
        b"]\n",
        b'{"generation":42,"inst\n',
        b'{"generation":NaN}\n',
        b'{"a":\x00}\n',
        b'"text"\n',
        b"[" * 40,
        b'{"a":' * 40,
        b"\xff\xfe\n",
    ],
)
def test_what_is_no_list_is_known_for_that_at_its_line_s_end(garbled: bytes) -> None:
    with pytest.raises(GarbledError):
        list(Objects().feed(garbled))


def test_an_object_without_end_is_not_collected_without_end() -> None:
    objects = Objects()
    with pytest.raises(GarbledError):
        list(objects.feed(b'{"a":"' + b"x" * MAX_OBJECT))


@pytest.mark.parametrize(
    "changes",
    [{"weight": float("inf")}, {"startedAtMs": float("nan")}, {"hostPort": "h:99999"}, {"hostPort": ":1"}],
)
def test_figures_that_nothing_can_be_reckoned_with_are_no_list(changes: dict[str, Any]) -> None:
    with pytest.raises(ListError):
        Naming((), ()).read(listing(1, {**row("a", "127.0.0.1:1"), **changes}))
    with pytest.raises(ListError):
        Naming((), ()).read({**listing(1), "generation": float("inf")})


# ---------------------------------------------------------------- silence


def test_a_silent_watch_and_two_failed_calls_leave_time_for_a_third() -> None:
    """With the longest waits and pauses, where lists are pushed and where they are asked for."""
    pushed = discovery.ANSWER_MOST_S + discovery.REWATCH_MOST_S
    asked = discovery.ANSWER_MOST_S + POLL_BACKOFF_MAX_MS / 1000.0
    assert discovery.HEARTBEAT_S < discovery.SILENCE_S <= TOLD_S - 2 * pushed
    assert 2 * asked < TOLD_S and discovery.SILENCE_S + asked < TOLD_S


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_what_a_silent_watch_missed_is_told_in_6_s_though_the_next_call_fails(mode: str) -> None:
    """In real time: the watch says no more, and the call after it is taken and not answered.  No setting
    stretches that, however late it allows lists to be asked for."""
    late = {"mustAskInMs": 600_000.0, "stopSendingWithinMs": 20_000.0}

    async def main() -> None:
        loop = asyncio.get_running_loop()
        async with (
            StubServer([reply("200 OK", b"a")]) as one,
            StubServer([reply("200 OK", b"b")]) as two,
            world(row("a", one.address), row("b", two.address), registryMode=mode, guarantees=late) as w,
        ):
            tell(await w.discovery.watch(), listing(2, reset=False))
            await until(lambda: w.node._discovery._version == 2)
            fell_silent = loop.time()
            w.discovery.mute = True
            await w.discovery.watch()
            w.discovery.mute = False
            tell(await w.discovery.watch(), listing(3, row("a", one.address, "DRAINING"), reset=False))
            await until(lambda: w.node._discovery._version == 3)
            assert loop.time() - fell_silent < TOLD_S
            caller = await w.caller()
            assert {(await caller.ask("look")).body for _ in range(5)} == {b"b"}

    run(main())


def test_a_line_that_lies_unread_when_the_time_for_it_is_over_keeps_the_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The loop stood still for longer than the silence lasts, and the word came in that time."""
    monkeypatch.setattr(discovery, "SILENCE_S", 0.2)

    async def main() -> None:
        async with world(registryMode="pushed") as w:
            watch = await w.discovery.watch()
            tell(watch, b"")
            await until(lambda: w.node._discovery.heard)
            os.write(watch.get_extra_info("socket").fileno(), b"1\r\n\n\r\n")
            assert w.node._discovery._watch is not None
            w.node._discovery._watch._lapse()  # before the loop turns
            tell(watch, listing(9, row("a", f"{HOST}:1")))
            await until(lambda: w.node._discovery._version == 9)
            assert len(w.discovery.targets) == 1

    run(main())


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_a_drain_that_a_silent_watch_missed_is_kept(mode: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "SILENCE_S", 0.05)

    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"a")]) as one,
            StubServer([reply("200 OK", b"b")]) as two,
            world(row("a", one.address), registryMode=mode) as w,
        ):
            silent = await w.discovery.watch()
            tell(silent, listing(2, row("b", two.address), reset=False))
            again = await w.discovery.watch()
            assert w.discovery.targets[-1].endswith("from=2")
            tell(again, listing(3, row("a", one.address, "DRAINING"), reset=False))
            await until(lambda: w.node._discovery._version == 3)
            caller = await w.caller()
            assert {(await caller.ask("look")).body for _ in range(5)} == {b"b"}

    run(main())


def test_an_agent_that_takes_a_watch_and_does_not_answer_is_asked_again() -> None:
    """While discovery is down the agent is silent; its return must not wait for a call made before it."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(
                known=False,
                registryMode="pushed",
                guarantees={"mustAskInMs": 60_000.0, "stopSendingWithinMs": 250.0},
            ) as w,
        ):
            await w.discovery.watch()
            w.discovery.mute = True
            w.node._discovery.subscribe()
            await w.discovery.watch()
            w.discovery.mute = False
            tell(await w.discovery.watch(), listing(7, row("a", server.address)))
            await until(lambda: w.node._discovery._version == 7)

    run(main())


# ---------------------------------------------------------------- garble


def _pieces(watch: asyncio.StreamWriter, *pieces: bytes) -> None:
    for piece in pieces:
        watch.write(b"%x\r\n%s\r\n" % (len(piece), piece))


@pytest.mark.parametrize(
    "pieces", [(b"{nonsense\n",), (b'{"generation":9,', b'"inst\n'), (b'{"a":[\n', b"\n")]
)
def test_a_garbled_list_is_one_line_in_the_log_and_the_watch_begins_again(
    pieces: tuple[bytes, ...], monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The last of them is cut off, and only the empty lines of a calm time follow."""
    monkeypatch.setattr(discovery, "CUT_S", 0.05)

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(row("a", server.address), registryMode="pushed") as w,
        ):
            watch = await w.discovery.watch()
            tell(watch, listing(41, row("a", server.address)))
            _pieces(watch, *pieces)
            again = await w.discovery.watch()
            assert w.discovery.targets[-1].endswith("from=41")
            tell(again, listing(42, reset=False))
            await until(lambda: w.node._discovery._version == 42)
            assert len([r for r in caplog.records if "discovery" in r.message]) <= 1
            assert (await (await w.caller()).ask("look")).status == 200, "the last list remains"

    run(main())


def test_an_indented_list_is_followed() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, world(known=False, registryMode="pushed") as w:
            watch = await w.discovery.watch()
            text = json.dumps(listing(5, row("a", server.address)), indent=2).encode() + b"\n"
            _pieces(watch, b"\n", text[:50], text[50:])
            await until(lambda: w.node._discovery._version == 5)
            assert (await (await w.caller()).ask("look")).status == 200

    run(main())


# ---------------------------------------------------------------- moves


def _move(node: Node, path: Path, address: str) -> None:
    path.write_text(json.dumps({"discovery": address}))
    node.reload()


def test_a_second_move_while_the_first_is_tried_again_leaves_one_watch(tmp_path: Path) -> None:
    """The pause of the first must not open another watch, whose end would drop the one that holds."""
    config = tmp_path / "config.json"

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            StubDiscovery() as first,
            StubDiscovery() as second,
            world(row("a", server.address), path=str(config), registryMode="pushed") as w,
        ):
            tell(await w.discovery.watch(), listing(2, row("a", server.address)))
            await until(lambda: w.node._discovery._version == 2)
            _move(w.node, config, first.address)
            (await first.watch()).transport.abort()
            await until(lambda: w.node._discovery._timer is not None)
            paused = w.node._discovery._timer
            _move(w.node, config, second.address)
            assert paused is not None and paused.cancelled()
            tell(await second.watch(), listing(3, reset=False))
            await until(lambda: w.node._discovery._version == 3)
            await asyncio.wait_for(w.discovery.left.wait(), PATIENCE_S)
            assert second.watches.empty() and len(first.targets) == 1

    run(main())


def test_a_move_while_the_watch_is_broken_replaces_the_pause(tmp_path: Path) -> None:
    config = tmp_path / "config.json"

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            StubDiscovery() as moved,
            world(row("a", server.address), path=str(config), registryMode="pushed") as w,
        ):
            (await w.discovery.watch()).transport.abort()
            await until(lambda: w.node._discovery._timer is not None)
            paused = w.node._discovery._timer
            _move(w.node, config, moved.address)
            assert paused is not None and paused.cancelled()
            tell(await moved.watch(), listing(3, row("a", server.address)))
            await until(lambda: w.node._discovery._version == 3)
            assert len(w.discovery.targets) == 1

    run(main())
