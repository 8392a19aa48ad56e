"""The four rules at their edges, and on seeded random streams."""

from __future__ import annotations

import itertools

import pytest

from load_balancer import Balancer
from load_balancer.actions import FailRequest, RejectRequest, SendAttempt
from load_balancer.events import (
    AttemptEnded,
    Endpoint,
    EndpointListKind,
    EndpointState,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    TimerFired,
    UnexpectedEventError,
)
from load_balancer.settings import DeduplicationScope, Idempotency, RequestClass, Settings, SettingsError
from tests.checker import Surrounding

EFFECTS = [
    RequestClass("safe", 1000, 3000, idempotency=Idempotency.IDEMPOTENT),
    RequestClass("unsafe", 1000, 3000, idempotency=Idempotency.NON_IDEMPOTENT),
    RequestClass(
        "all",
        1000,
        3000,
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_ms=1500,
    ),
    RequestClass(
        "zone",
        1000,
        3000,
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window_ms=1500,
    ),
    RequestClass(
        "cell",
        1000,
        3000,
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_ms=400,
    ),
]


def make(kind: RequestClass, **more: object) -> Surrounding:
    values: dict[str, object] = {
        "response_slack_ms": 20.0,
        "tick_ms": 5.0,
        "health_checks_allowed": True,
        "max_attempts": 4,
    }
    values.update(more)
    return Surrounding(Settings(classes=(kind,), **values), seed=3)  # type: ignore[arg-type]


def rows(n: int) -> list[Endpoint]:
    return [Endpoint(bytes([i]), zone=i % 2, cell=i // 2) for i in range(n)]


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("duplicate", [True, False])
def test_rules_hold_on_any_stream(seed: int, duplicate: bool) -> None:
    for stage in (0, 1):
        settings = Settings(
            classes=tuple(EFFECTS),
            tier_index=stage,
            tier_count=2,
            response_slack_ms=20.0,
            tick_ms=5.0,
            hedging_allowed=duplicate,
            health_checks_allowed=True,
            poll_endpoint_list=bool(seed % 2),
            max_attempts=2 + seed % 4,
        )
        play = Surrounding(settings, seed)
        play.list_of(rows(8), EndpointListKind.CACHED)
        play.muddle(1500)
        assert sum(isinstance(a, SendAttempt) for a in play.log) > 100
        assert all(owed.done_at is not None for owed in play.owed.values())


def test_a_request_is_answered_though_no_server_is_known() -> None:
    play = make(EFFECTS[1])
    play.arrive()
    for _ in range(400):
        play.step(10)
    assert [type(a) for a in play.log if isinstance(a, RejectRequest | FailRequest)] == [RejectRequest]


def test_unsafe_request_is_failed_after_a_timeout_and_resent_after_a_proof() -> None:
    play = make(EFFECTS[1])
    play.list_of(rows(4))
    first = play.arrive()
    play.end(first, 0, Outcome.CONNECT_FAILED)
    assert len(play.owed[first].attempts) == 2
    play.end(first, 1, Outcome.ERROR)
    assert isinstance(play.log[-1], FailRequest) and len(play.owed[first].attempts) == 2


@pytest.mark.parametrize(("index", "answer"), [(2, RejectRequest), (3, FailRequest), (4, FailRequest)])
def test_keyed_request_stays_in_its_group_and_window(index: int, answer: type) -> None:
    play = make(EFFECTS[index], hedging_allowed=False)
    play.list_of(rows(6))
    request = play.arrive()
    play.end(request, 0, Outcome.ERROR)
    assert len(play.owed[request].attempts) == 2  # the checker has seen to the group
    play.now += EFFECTS[index].deduplication_window_ms
    play.end(request, 1, Outcome.ERROR)
    assert len(play.owed[request].attempts) == 2
    assert any(isinstance(a, answer) for a in play.log)


def test_no_second_copy_where_copies_are_forbidden() -> None:
    for duplicate in (False, True):
        play = make(EFFECTS[0], hedging_allowed=duplicate)
        play.list_of(rows(4))
        for _ in range(20):
            done = play.arrive()
            play.step(20)
            play.end(done, 0, Outcome.OK)
        request = play.arrive()
        before = [len(play.owed[request].attempts)]
        for _ in range(30):
            play.now += 10  # time-outs are not delivered: only the module's own timers run
            play.fire_due()
            before.append(len(play.owed[request].attempts))
        assert (before[-1] > 1) is duplicate


def test_drained_gone_and_unlisted_servers_get_nothing() -> None:
    play = make(EFFECTS[0])
    play.list_of(rows(4))
    drained = [Endpoint(bytes([0]), EndpointState.DRAINING), Endpoint(bytes([1]), EndpointState.REMOVED)]
    play.list_of(drained, EndpointListKind.DELTA)
    for _ in range(40):
        play.end(play.arrive(), 0, Outcome.OK)
    play.list_of([rows(4)[3]], EndpointListKind.FULL)
    for _ in range(10):
        request = play.arrive()
        assert play.owed[request].attempts[0].entry.id == bytes([3])
        play.end(request, 0, Outcome.OK)


def test_a_burst_on_a_fleet_with_a_cold_server_keeps_the_cold_budget() -> None:
    warm_up_ms, start_share = 8000.0, 0.3
    play = make(EFFECTS[0], warm_up_ms=warm_up_ms, initial_capacity=start_share, node_count=1)
    play.list_of(rows(4))
    sent_cold: list[tuple[float, float]] = []
    warm_per_s = 0.0
    for step in itertools.count():
        if step == 400:  # a warmed-up flow of one call each 5 ms, then one server restarts and calls burst
            play.list_of([Endpoint(bytes([0]), started_ms=play.now)], EndpointListKind.DELTA)
            warm_per_s = 200 / 4
        if step == 800:
            break
        play.now += 5
        for _ in range(3 if step >= 400 else 1):
            request = play.arrive()
            server = play.owed[request].attempts[0].entry.id
            if step >= 400 and server == bytes([0]):
                sent_cold.append((play.now, play.now - play.rows[server].started_ms))
            play.end(request, 0, Outcome.OK)
    assert sent_cold  # it does get its part
    for at, _ in sent_cold:
        window = [age for t, age in sent_cold if at <= t < at + 1000]
        capacity = start_share + (1 - start_share) * window[0] / warm_up_ms
        # The flow a warm server bore before the burst stands in for what it can do.
        assert len(window) <= 3 * capacity * 3 * warm_per_s


def test_unlikely_news_is_ignored_and_impossible_news_is_an_error() -> None:
    balancer = Balancer(Settings(classes=(EFFECTS[0],)), seed=1)
    assert balancer.handle(RequestAbandoned(77), 1.0) == []
    assert balancer.handle(TimerFired(9), 1.0) == []
    with pytest.raises(UnexpectedEventError, match="was not out"):
        balancer.handle(AttemptEnded(5, 0, b"x", Outcome.OK, 1.0, True), 2.0)
    with pytest.raises(UnexpectedEventError, match="unknown class"):
        balancer.handle(RequestArrived(6, 9, 100.0), 2.0)
    balancer.handle(RequestArrived(7, 0, 100.0), 2.0)
    with pytest.raises(UnexpectedEventError, match="twice"):
        balancer.handle(RequestArrived(7, 0, 100.0), 2.0)


def test_identical_events_give_identical_actions() -> None:
    logs = []
    for _ in range(2):
        play = make(EFFECTS[0])
        play.list_of(rows(6))
        play.muddle(400)
        logs.append(play.log)
    assert logs[0] == logs[1]


def test_a_late_hedge_timer_sends_no_more_than_the_attempts_allowed() -> None:
    """A retry may have used up the last attempt since the timer was set."""
    for most in (2, 3):
        play = make(EFFECTS[0], max_attempts=most)
        play.list_of(rows(4))
        for _ in range(20):
            done = play.arrive()
            play.step(20)
            play.end(done, 0, Outcome.OK)
        # Calls that hang at every server, so that each counts as silent before the timer is due.
        requests = [play.arrive() for _ in range(20)]
        play.end(requests[0], 0, Outcome.RESET)
        assert len(play.owed[requests[0]].attempts) == 2
        for _ in range(30):
            play.step(10)
        assert len(play.owed[requests[0]].attempts) == most


@pytest.mark.parametrize(("budget_left", "sent"), [(0.0, False), (4.0, False), (50.0, True)])
def test_nothing_is_sent_within_a_tick_of_the_deadline(budget_left: float, sent: bool) -> None:
    """Events may come later than the timer that would have rejected the request."""
    play = make(EFFECTS[0])
    request = play.arrive()
    play.now = play.owed[request].deadline - budget_left
    play.list_of(rows(4))
    assert bool(play.owed[request].attempts) is sent


def test_a_request_has_one_final_answer_and_is_not_sent_after_it() -> None:
    play = make(EFFECTS[0])
    play.list_of(rows(4))
    request = play.arrive()
    play.end(request, 0, Outcome.CLIENT_ERROR)
    waiting = [play.arrive() for _ in range(60)]
    unplaced = [r for r in waiting if not play.owed[r].attempts]
    assert unplaced
    play.step(60)
    for _ in range(100):  # every timer that is left, and room for all
        play.step(50)
        for other in waiting:
            for number in list(play.live(other)):
                play.end(other, number, Outcome.OK)
    answers = [a.request_id for a in play.log if isinstance(a, RejectRequest | FailRequest)]
    assert answers.count(request) == 1 and sorted(answers) == sorted({request, *unplaced})
    assert len(play.owed[request].attempts) == 1
    assert not any(play.owed[r].attempts for r in unplaced)


def test_a_request_that_waits_is_not_sent_to_a_server_that_drains_meanwhile() -> None:
    play = make(EFFECTS[0])
    play.list_of(rows(2))
    calls = [play.arrive() for _ in range(40)]
    waiting = [r for r in calls if not play.owed[r].attempts]
    assert waiting
    play.list_of([Endpoint(bytes([0]), EndpointState.DRAINING)], EndpointListKind.DELTA)
    for request in calls:
        for number in list(play.live(request)):
            play.end(request, number, Outcome.OK)
    assert {play.owed[r].attempts[0].entry.id for r in waiting} == {bytes([1])}


def test_the_sending_guard_stands_by_itself() -> None:
    """No caller asks for these today; the one path that sends must refuse them all the same."""
    for duplicate in (False, True):
        play = make(EFFECTS[0], hedging_allowed=duplicate, max_attempts=2)
        play.list_of(rows(3))
        node = play.balancer
        request = node.context.requests.by_id[play.arrive()]
        other, drained = (
            record
            for record in node.context.endpoints.drawable
            if record.endpoint.id != request.attempts[0].endpoint.id
        )
        play.list_of([Endpoint(drained.endpoint.id, EndpointState.DRAINING)], EndpointListKind.DELTA)
        assert not node._send(request, drained)
        assert node._send(request, other) is duplicate  # a second copy while the first is out
        assert not duplicate or not node._send(request, other)  # and no more than the attempts allowed
        request.deadline = play.now + 1.0
        assert not node._send(request, other)
        node._finish(request)
        actions = len(node.context.actions)
        node._finish(request)
        assert len(node.context.actions) == actions  # one final answer
        assert not node._send(request, other)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("classes", ()),
        ("max_attempts", 0),
        ("node_count", 0),
        ("warm_up_ms", -1.0),
        ("tick_ms", float("nan")),
    ],
)
def test_impossible_settings_name_the_field(field: str, value: object) -> None:
    values: dict[str, object] = {"classes": (EFFECTS[0],), field: value}
    with pytest.raises(SettingsError, match=field):
        Settings(**values)  # type: ignore[arg-type]
    with pytest.raises(SettingsError, match="latency_objective_ms"):
        RequestClass("x", -5.0, 100.0)
