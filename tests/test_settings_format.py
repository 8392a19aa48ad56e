"""Tests of reading the settings from pairs of a documented path and a value."""

from __future__ import annotations

import pytest

from load_balancer.settings import DeduplicationScope, Idempotency, SettingsError
from load_balancer.settings_format import read_settings
from tests.simulator.frames import settings_values


def test_unknown_paths_are_ignored_and_missing_paths_have_defaults() -> None:
    settings = read_settings(
        settings_values(
            {"new.key": "7", "familyInfo.passesDeadline": "", "layers": "a,b,c", "stage": "1"},
        )
    )
    (request_class,) = settings.classes
    assert request_class.idempotency is Idempotency.IDEMPOTENT
    assert request_class.deduplication_scope is DeduplicationScope.ALL
    assert settings.tier_count == 3
    assert settings.tier_index == 1
    assert settings.tenants == ()
    assert settings.max_attempts == 1
    assert settings.propagates_deadline
    assert not settings.hedging_allowed
    assert not settings.health_checks_allowed


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("profiles.count", None),
        ("profiles.count", "0"),
        ("profiles.count", "1.5"),
        ("profiles.0.aimMs", None),
        ("profiles.0.aimMs", "soon"),
        ("profiles.0.deadlineMs", "-1"),
        ("profiles.0.effect", "maybe"),
        ("profiles.0.group", "rack"),
        ("policyLimits.tryLimit", "-2"),
        ("policyLimits.probes", "yes"),
        ("balancers", "0"),
        ("guarantees.coldMs", "nan"),
    ],
)
def test_invalid_value_is_an_error_that_names_the_path(path: str, value: str | None) -> None:
    with pytest.raises(SettingsError) as caught:
        read_settings(settings_values({path: value}))
    assert caught.value.key == path


def test_keyed_class_requires_its_deduplication_window() -> None:
    with pytest.raises(SettingsError) as caught:
        read_settings(settings_values({"profiles.0.effect": "keyed"}))
    assert caught.value.key == "profiles.0.windowMs"
