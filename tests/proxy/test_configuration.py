"""Tests of the configuration that a node reads at its start, and of errors that name the invalid key."""

from __future__ import annotations

import errno
import json
from pathlib import Path
from typing import Any

import pytest

from load_balancer.events import EndpointListKind, EndpointState
from load_balancer.proxy.configuration import load_configuration
from load_balancer.proxy.configuration_values import ConfigurationError
from load_balancer.settings import Idempotency
from tests.proxy.sample_settings import settings
from tests.proxy.stub_discovery import listing, row


def _configuration(**changes: Any) -> dict[str, Any]:
    return {
        "name": "n3",
        "listen": "127.0.0.1:8000",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": listing(41, row("s-1", "127.0.0.1:9000", "DRAINING", 12.0)),
        "settings": settings(),
        **changes,
    }


def _environment(tmp_path: Path, raw: Any) -> dict[str, str]:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    return {"NODE_NAME": "n3", "NODE_LISTEN": "127.0.0.1:0", "NODE_CONFIG": str(path)}


def test_environment_and_file_are_read(tmp_path: Path) -> None:
    configuration = load_configuration(_environment(tmp_path, _configuration()))
    assert configuration.listen == ("127.0.0.1", 0), "the environment did not take precedence over the file"
    assert configuration.discovery == ("127.0.0.1", 8500)
    assert configuration.seed == 0x8C1F30D27A5BE964
    policy_settings = configuration.settings
    assert policy_settings.classes[1].idempotency is Idempotency.KEYED
    assert policy_settings.poll_endpoint_list and policy_settings.health_checks_allowed
    assert policy_settings.tenants[0].name == "acme"


def test_half_written_file_is_read_again_at_a_start(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    environment = _environment(tmp_path, _configuration())
    path = tmp_path / "config.json"
    text = path.read_text()
    path.write_text(text[:-20])
    # The file is completed while the node pauses before it reads the file again.
    monkeypatch.setattr("time.sleep", lambda _: path.write_text(text))
    assert load_configuration(environment).name == "n3"


def test_file_that_stays_half_written_is_an_error(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    environment = _environment(tmp_path, _configuration())
    (tmp_path / "config.json").write_text("{")
    pauses: list[float] = []
    monkeypatch.setattr("time.sleep", pauses.append)
    with pytest.raises(ConfigurationError, match="cannot be read"):
        load_configuration(environment)
    assert sum(pauses) < 1.0


def test_file_that_cannot_be_opened_for_seconds_is_read_at_last(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A full file table of the system delays the start of a node by seconds, but does not make it fail."""
    environment = _environment(tmp_path, _configuration())
    pauses: list[float] = []
    real_open = open

    def fail_at_first(*arguments: Any, **options: Any) -> Any:
        if sum(pauses) < 3.0:
            raise OSError(errno.ENFILE, "too many open files in system")
        return real_open(*arguments, **options)

    monkeypatch.setattr("builtins.open", fail_at_first)
    monkeypatch.setattr("time.sleep", pauses.append)
    assert load_configuration(environment).name == "n3"


def test_cached_list_is_read(tmp_path: Path) -> None:
    cached = load_configuration(_environment(tmp_path, _configuration())).cached_listing
    assert cached is not None
    event = cached.event(cached=True)
    assert (event.kind, event.version) == (EndpointListKind.CACHED, 41)
    endpoint = event.endpoints[0]
    assert (endpoint.id, endpoint.state, endpoint.started_ms) == (b"s-1", EndpointState.DRAINING, 12.0)


@pytest.mark.parametrize(
    ("changes", "key", "text"),
    [
        ({"settings": None}, "settings", "settings"),
        ({"settings": settings(profiles=[])}, "settings", "profiles.count"),
        ({"settings": settings(profiles=[{"name": "x", "effect": "odd"}])}, "settings", "profiles.0.effect"),
        ({"settings": settings(tickMs="soon")}, "settings", "tickMs"),
        ({"settings": settings(policyLimits={"connIdleMs": -1})}, "settings", "connIdleMs"),
        ({"seed": "xyz"}, "seed", "seed"),
        ({"limits": {}}, "limits.memory_mb", "memory_mb"),
        ({"limits": {"memory_mb": 192, "sockets": 3}}, "limits.sockets", "sockets"),
        ({"discovery": "nowhere"}, "NODE_DISCOVERY", "NODE_DISCOVERY"),
        ({"known": {"generation": 1}}, "known", "known"),
    ],
)
def test_invalid_configuration_names_key(
    tmp_path: Path, changes: dict[str, Any], key: str, text: str
) -> None:
    with pytest.raises(ConfigurationError, match=text) as raised:
        load_configuration(_environment(tmp_path, _configuration(**changes)))
    assert raised.value.key == key


def test_missing_file_names_variable(tmp_path: Path) -> None:
    with pytest.raises(ConfigurationError, match="NODE_CONFIG"):
        load_configuration({"NODE_CONFIG": str(tmp_path / "none.json")})
    with pytest.raises(ConfigurationError, match="NODE_CONFIG"):
        load_configuration({})


def test_small_limits_are_accepted(tmp_path: Path) -> None:
    raw_limits = {"cores": 0.5, "memory_mb": 48.0, "sockets": 32}
    limits = load_configuration(_environment(tmp_path, _configuration(limits=raw_limits))).limits
    assert (limits.memory_mb, limits.sockets) == (48, 32)
