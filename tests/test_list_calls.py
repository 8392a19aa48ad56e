"""Calls for the server list while it is out of reach."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest

from load_balancer.events import Endpoint, EndpointListKind, EndpointListUpdate
from load_balancer.settings import RequestClass, Settings
from tests.checker import Surrounding

ASKING = Settings(
    classes=(RequestClass("r", 1000, 3000),), poll_endpoint_list=True, poll_within_ms=4000.0, tick_ms=5.0
)


def test_an_outage_of_the_list_does_not_multiply_the_calls_for_it() -> None:
    """Seen in service: every failed call left a second timer behind, so that calls doubled with each
    pause until their count overflowed a float and stopped the instance."""
    play = Surrounding(ASKING, seed=5)
    play.list_of([Endpoint(b"a")], EndpointListKind.CACHED)
    answered = 0
    per_second = []
    for _ in range(60):
        before = play.subscriptions
        for _ in range(20):
            play.step(50.0)
            while answered < play.subscriptions:
                answered += 1
                play.feed(EndpointListUpdate(EndpointListKind.FAILED))
        per_second.append(play.subscriptions - before)
    assert max(per_second) <= 3, per_second
    assert sum(per_second[-20:]) >= 5  # it goes on asking: the rule deems it told after a while


def test_an_unanswered_call_is_repeated_in_time() -> None:
    play = Surrounding(ASKING, seed=5)
    play.list_of([Endpoint(b"a")], EndpointListKind.CACHED)
    for _ in range(400):
        play.step(50.0)
    assert 20_000 / 4000.0 <= play.subscriptions <= 20_000 / 2000.0 + 1


@pytest.mark.parametrize("poll_within_ms", [200.0, 4000.0, 60_000.0, 3_600_000.0])
@pytest.mark.parametrize("answer_ms", [0.0, 1000.0, None])
def test_whatever_the_settings_allow_a_second_call_comes_within_6_s(
    poll_within_ms: float, answer_ms: float | None
) -> None:
    """Each call fails after this time, or brings no word at all; also the first of a new instance."""
    settings = replace(ASKING, poll_within_ms=poll_within_ms)
    for seed in range(20):
        play = Surrounding(settings, seed=seed)
        play.list_of([Endpoint(b"a")], EndpointListKind.CACHED)
        calls: list[float] = []
        failed = 0
        for _ in range(1000):
            play.step(20.0)
            calls += [play.now] * (play.subscriptions - len(calls))
            if answer_ms is not None and failed < len(calls) and play.now >= calls[-1] + answer_ms:
                failed = len(calls)
                play.feed(EndpointListUpdate(EndpointListKind.FAILED))
        assert calls[0] < 3000.0
        assert max(b - a for a, b in pairwise(calls)) < 3000.0, "two failures leave time for a third call"


def test_years_of_failures_do_not_stop_an_instance() -> None:
    play = Surrounding(ASKING, seed=5)
    play.list_of([Endpoint(b"a")], EndpointListKind.CACHED)
    for _ in range(3000):
        play.feed(EndpointListUpdate(EndpointListKind.FAILED))
    before = play.subscriptions
    play.step(0.5 * ASKING.poll_within_ms)
    assert play.subscriptions == before + 1
