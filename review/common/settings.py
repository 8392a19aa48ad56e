"""The settings of a small deployment, in the form of a node's configuration file."""

from __future__ import annotations

from typing import Any

TENANT = "cali-central"


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of the deployment of the brief, with these changes to top-level members."""
    return {
        "azs": ["cali-norte"],
        "balancers": 1,
        "clientHabits": {"marksRetry": False},
        "family": "chain",
        "familyInfo": {"passesDeadline": True},
        "guarantees": {
            "answerSlackMs": 50.0,
            "coldMs": 21000.0,
            "fallMultiple": 4.0,
            "mustAskInMs": 10000.0,
            "overloadForMs": 1000.0,
            "startCapacity": 0.13,
            "stopSendingWithinMs": 1000.0,
        },
        "layers": ["pedidos"],
        "loadInfo": {"columns": [], "how": "off"},
        "locality": 0,
        "models": ["pedidos-rapido"],
        "ordinal": 0,
        "overShareWorth": 0.05,
        "policyLimits": policy_limits(),
        "profiles": [
            request_class("reserva", "keyed", group="cell", windowMs=4000.0),
            request_class("liberar", "unsafe", worth=30.0),
        ],
        "registryMode": "pushed",
        "stage": 0,
        "tariffs": {"crossZone": 0.0},
        "tenants": [{"name": TENANT, "fraction": 1.0, "quotaPerS": 1000.0}],
        "tickMs": 5.0,
        "weights": "nominal",
        "worthBy": "request",
        **changes,
    }


def policy_limits(**changes: Any) -> dict[str, Any]:
    """Return the limits of what a node may do, with these changes."""
    return {
        "cancel": True,
        "connIdleMs": 5000.0,
        "connectTimeoutMs": 150.0,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 500000,
        "maxOpen": 20000,
        "maxRetryAfterMs": 1200.0,
        "mayDuplicate": True,
        "peers": False,
        "probes": True,
        "retryAfter": False,
        "streamsPerConn": 1,
        "tryLimit": 5,
        **changes,
    }


def request_class(name: str, effect: str, **changes: Any) -> dict[str, Any]:
    """Return a class of requests with this effect of a second execution, with these changes."""
    return {
        "name": name,
        "effect": effect,
        "aimMs": 1000.0,
        "deadlineMs": 2500.0,
        "lateShare": 0.0,
        "stream": False,
        "worth": 10.0,
        **changes,
    }
