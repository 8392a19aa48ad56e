"""Reads typed settings from pairs of documented paths and values.

The simulator's protocol and a node's configuration file contain the same settings under the same paths, so
both are read here.  The rest of the package refers to settings by the names of their fields.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum
from typing import TypeVar

from load_balancer.settings import (
    DEFAULT_CONNECT_TIMEOUT_MS,
    DEFAULT_INITIAL_CAPACITY,
    DEFAULT_MAX_POLL_INTERVAL_MS,
    DEFAULT_OVER_QUOTA_WEIGHT,
    DEFAULT_OVERLOAD_MULTIPLE,
    DEFAULT_OVERLOAD_WINDOW_MS,
    DEFAULT_PRIORITY_WEIGHT,
    DEFAULT_TICK_MS,
    MIN_DURATION_MS,
    DeduplicationScope,
    Idempotency,
    RequestClass,
    Settings,
    SettingsError,
    Tenant,
)

EnumType = TypeVar("EnumType", bound=Enum)


class SettingsReader:
    """Reads and checks values by their paths; every SettingsError contains the path."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values

    def text(self, path: str, default: str | None = None) -> str:
        """Return a value as text.

        Raises:
            SettingsError: the value is absent and there is no default.
        """
        value = self._values.get(path, default)
        if value is None:
            raise SettingsError(path, "is missing")
        return value

    def number(self, path: str, default: float | None = None, minimum: float = 0.0) -> float:
        """Return a value as a number; an empty value counts as absent.

        Raises:
            SettingsError: the value is absent without a default, is not a number, is infinite or is below the
                minimum.
        """
        text = self._values.get(path, "")
        if text == "":
            if default is None:
                raise SettingsError(path, "is missing")
            return default
        try:
            value = float(text)
        except ValueError:
            raise SettingsError(path, f"is not a number: {text!r}") from None
        if not minimum <= value < math.inf:
            raise SettingsError(path, f"is out of range: {text}")
        return value

    def integer(self, path: str, default: int | None = None, minimum: int = 0) -> int:
        """Return a value as a whole number; an empty value counts as absent.

        Raises:
            SettingsError: the value is absent without a default, is not a whole number or is below the
                minimum.
        """
        value = self.number(path, default, minimum)
        if value != int(value):
            raise SettingsError(path, f"is not a whole number: {value}")
        return int(value)

    def flag(self, path: str, default: bool) -> bool:
        """Return the value ``true`` or ``false`` as a bool; an empty value counts as absent.

        Raises:
            SettingsError: the value is neither ``true`` nor ``false``.
        """
        text = self._values.get(path, "")
        if text == "":
            return default
        if text not in ("true", "false"):
            raise SettingsError(path, f"is neither true nor false: {text!r}")
        return text == "true"

    def text_list(self, path: str) -> tuple[str, ...]:
        """Return the items of a comma-separated list; an absent or empty value is an empty list."""
        text = self._values.get(path, "")
        return tuple(text.split(",")) if text else ()

    def member(self, path: str, enum: type[EnumType], default: str | None = None) -> EnumType:
        """Return the enum member that corresponds to the value at the path.

        Raises:
            SettingsError: the value is absent without a default, or no member of the enum has this value.
        """
        text = self.text(path, default)
        try:
            return enum(text)
        except ValueError:
            raise SettingsError(path, f"has an unknown value: {text!r}") from None


def read_settings(values: Mapping[str, str]) -> Settings:
    """Return the settings from pairs of paths and values; unknown paths are ignored.

    Raises:
        SettingsError: a value is missing, cannot be read or is out of its range.
    """
    reader = SettingsReader(values)
    class_count = reader.integer("profiles.count", minimum=1)
    tenant_count = reader.integer("tenants.count", 0)
    return Settings(
        classes=tuple(_read_class(reader, f"profiles.{i}") for i in range(class_count)),
        tenants=tuple(_read_tenant(reader, f"tenants.{i}") for i in range(tenant_count)),
        node_count=reader.integer("balancers", 1, 1),
        node_index=reader.integer("ordinal", 0),
        tier_index=reader.integer("stage", 0),
        tier_count=max(1, len(reader.text_list("layers"))),
        zone=reader.integer("locality", 0),
        zone_count=max(1, len(reader.text_list("azs"))),
        max_attempts=reader.integer("policyLimits.tryLimit", 1, 1),
        hedging_allowed=reader.flag("policyLimits.mayDuplicate", False),
        cancel_allowed=reader.flag("policyLimits.cancel", False),
        health_checks_allowed=reader.flag("policyLimits.probes", False),
        retry_after_allowed=reader.flag("policyLimits.retryAfter", False),
        max_retry_after_ms=reader.number("policyLimits.maxRetryAfterMs", 0.0),
        value_grows_with_work=reader.text("worthBy", "request") == "work",
        over_quota_weight=reader.number("overShareWorth", DEFAULT_OVER_QUOTA_WEIGHT),
        poll_endpoint_list=reader.text("registryMode", "pushed") == "on_request",
        max_poll_interval_ms=reader.number("guarantees.mustAskInMs", DEFAULT_MAX_POLL_INTERVAL_MS, 1.0),
        use_endpoint_weights=reader.text("weights", "off") != "off",
        propagates_deadline=reader.flag("familyInfo.passesDeadline", True),
        response_slack_ms=reader.number("guarantees.answerSlackMs", 0.0),
        drain_grace_ms=reader.number("guarantees.stopSendingWithinMs", 0.0),
        initial_capacity=reader.number("guarantees.startCapacity", DEFAULT_INITIAL_CAPACITY),
        warm_up_ms=reader.number("guarantees.coldMs", 0.0),
        overload_multiple=reader.number("guarantees.fallMultiple", DEFAULT_OVERLOAD_MULTIPLE),
        overload_window_ms=reader.number("guarantees.overloadForMs", DEFAULT_OVERLOAD_WINDOW_MS),
        connect_timeout_ms=reader.number("policyLimits.connectTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS),
        tick_ms=reader.number("tickMs", DEFAULT_TICK_MS),
        cross_zone_cost=reader.number("tariffs.crossZone", 0.0),
        load_report_fields=reader.text_list("loadInfo.columns"),
    )


def _read_class(reader: SettingsReader, path: str) -> RequestClass:
    idempotency = reader.member(f"{path}.effect", Idempotency)
    window_default = None if idempotency is Idempotency.KEYED else 0.0
    return RequestClass(
        name=reader.text(f"{path}.name", ""),
        latency_objective_ms=reader.number(f"{path}.aimMs", minimum=MIN_DURATION_MS),
        deadline_ms=reader.number(f"{path}.deadlineMs", minimum=MIN_DURATION_MS),
        priority_weight=reader.number(f"{path}.worth", DEFAULT_PRIORITY_WEIGHT),
        late_weight=reader.number(f"{path}.lateShare", 0.0),
        idempotency=idempotency,
        deduplication_scope=reader.member(f"{path}.group", DeduplicationScope, "all"),
        deduplication_window_ms=reader.number(f"{path}.windowMs", window_default),
        streaming=reader.flag(f"{path}.stream", False),
        latency_objective_stretch=reader.number(f"{path}.aimStretch", 0.0),
    )


def _read_tenant(reader: SettingsReader, path: str) -> Tenant:
    return Tenant(
        name=reader.text(f"{path}.name", ""),
        fraction=reader.number(f"{path}.fraction"),
        quota_per_s=reader.number(f"{path}.quotaPerS", 0.0),
    )
