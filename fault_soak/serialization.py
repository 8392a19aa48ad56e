"""Conversion of settings, endpoint lists and reports to JSON objects with the documented names."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeAlias

from fault_soak.endpoints import EndpointList, EndpointRow
from fault_soak.report import Report
from fault_soak.settings import Guarantees, PolicyLimits, RequestClass, Settings, Tenant

JsonObject: TypeAlias = dict[str, object]

ENDPOINT_WEIGHT = 1.0


def settings_to_json(settings: Settings) -> JsonObject:
    """Convert settings to the object that a node reads from its configuration file."""
    return {
        "azs": list(settings.zones),
        "balancers": settings.node_count,
        "clientHabits": {"marksRetry": settings.clients_mark_retries},
        "guarantees": _guarantees_to_json(settings.guarantees),
        "layers": list(settings.tiers),
        "locality": settings.zone_index,
        "models": list(settings.machine_types),
        "ordinal": settings.node_index,
        "policyLimits": _limits_to_json(settings.limits),
        "profiles": [_class_to_json(request_class) for request_class in settings.classes],
        "registryMode": settings.list_delivery.value,
        "tenants": [_tenant_to_json(tenant) for tenant in settings.tenants],
        "tickMs": settings.tick_ms,
        "weights": settings.weights,
    }


def endpoint_list_to_json(endpoints: EndpointList) -> JsonObject:
    """Convert an endpoint list to the object that discovery sends."""
    return {
        "generation": endpoints.generation,
        "reset": endpoints.complete,
        "instances": [_row_to_json(row) for row in endpoints.rows],
    }


def report_to_json(report: Report) -> JsonObject:
    """Convert a report to the object that is stored in a report file."""
    return {
        "seed": report.seed,
        "requests": report.requests,
        "statuses": report.statuses,
        "worst_lag_ms": report.worst_lag_ms,
        "shim_loaded": report.shim_loaded,
        "faults": list(report.faults),
        "pairs": list(report.pairs),
        "violations": list(report.violations),
    }


def report_from_json(content: Mapping[str, Any]) -> Report:
    """Convert the object of a report file to a report."""
    return Report(
        seed=content["seed"],
        requests=content["requests"],
        statuses=content["statuses"],
        worst_lag_ms=content["worst_lag_ms"],
        shim_loaded=content["shim_loaded"],
        faults=tuple(content["faults"]),
        pairs=tuple(content["pairs"]),
        violations=tuple(content["violations"]),
    )


def _guarantees_to_json(guarantees: Guarantees) -> JsonObject:
    return {
        "answerSlackMs": guarantees.response_slack_ms,
        "coldMs": guarantees.warm_up_ms,
        "fallMultiple": guarantees.overload_multiple,
        "mustAskInMs": guarantees.max_poll_interval_ms,
        "overloadForMs": guarantees.overload_window_ms,
        "startCapacity": guarantees.initial_capacity,
        "stopSendingWithinMs": guarantees.drain_grace_ms,
    }


def _limits_to_json(limits: PolicyLimits) -> JsonObject:
    return {
        "cancel": limits.cancel_allowed,
        "connIdleMs": limits.idle_timeout_ms,
        "connectTimeoutMs": limits.connect_timeout_ms,
        "maxRetryAfterMs": limits.max_retry_after_ms,
        "mayDuplicate": limits.hedging_allowed,
        "probes": limits.health_checks_allowed,
        "retryAfter": limits.retry_after_allowed,
        "tryLimit": limits.max_attempts,
    }


def _class_to_json(request_class: RequestClass) -> JsonObject:
    content: JsonObject = {
        "name": request_class.name,
        "effect": request_class.idempotency.value,
        "aimMs": request_class.latency_objective_ms,
        "deadlineMs": request_class.deadline_ms,
        "worth": request_class.priority_weight,
    }
    if request_class.deduplication_scope is not None:
        content["group"] = request_class.deduplication_scope.value
        content["windowMs"] = request_class.deduplication_window_ms
    return content


def _tenant_to_json(tenant: Tenant) -> JsonObject:
    return {"name": tenant.name, "fraction": tenant.fraction, "quotaPerS": tenant.quota_per_s}


def _row_to_json(row: EndpointRow) -> JsonObject:
    return {
        "instanceId": row.server,
        "hostPort": row.address,
        "zone": row.location.zone,
        "machineType": row.location.machine_type,
        "cell": row.location.cell,
        "lifecycle": row.lifecycle.value,
        "weight": ENDPOINT_WEIGHT,
        "startedAtMs": row.started_unix_ms,
    }
