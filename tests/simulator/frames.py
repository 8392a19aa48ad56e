"""Build frames of the simulator's wire protocol for tests, without ``load_balancer.simulator.codec``."""

from __future__ import annotations

import struct

ENDPOINT_A = bytes.fromhex("0a124a078b13")
ENDPOINT_B = bytes.fromhex("0a9011f2b413")
SEED = 5

# The codes of event records, which the adapter receives.
INSTANCE_STARTED = 1
ENDPOINT_LIST_UPDATE = 2
REQUEST_ARRIVED = 3
RESPONSE_STARTED = 4
ATTEMPT_ENDED = 5
REQUEST_ABANDONED = 6
TIMER_FIRED = 7
HEALTH_CHECK_ENDED = 8
PEER_MESSAGE = 9
INSTANCE_KILLED = 10
ENDPOINT_TABLE = 11

# The codes of action records, which the adapter sends.
SEND_ATTEMPT = 65
INSTANCE_FAULT = 74

# The kinds of endpoint list updates.
DELTA, CACHED, FULL, FAILED = 1, 2, 3, 0

# The states of endpoints.
SERVING, DRAINING = 1, 2

REQUIRED_SETTINGS = {
    "profiles.count": "1",
    "profiles.0.aimMs": "1000.0",
    "profiles.0.deadlineMs": "3000.0",
    "profiles.0.effect": "safe",
}


def settings_values(changes: dict[str, str | None] | None = None) -> dict[str, str]:
    """Return the required settings with these changes; a change to None omits the setting."""
    values = {**REQUIRED_SETTINGS, **(changes or {})}
    return {path: value for path, value in values.items() if value is not None}


def settings_text(changes: dict[str, str | None] | None = None) -> str:
    """Return the required settings with these changes as lines of the form ``path=value``."""
    return "\n".join(f"{path}={value}" for path, value in settings_values(changes).items())


def record(code: int, fields: bytes) -> bytes:
    """Return a record with its header."""
    return struct.pack("<BI", code, len(fields)) + fields


def batch(*records: bytes, now_ms: float = 241.004) -> bytes:
    """Return a batch frame that contains these records."""
    body = b"".join(records)
    return struct.pack("<IdI", len(body), now_ms, len(records)) + body


def instance_started(instance_id: int, text: str | None = None) -> bytes:
    """Return the record that starts an instance, by default with the required settings."""
    raw = (settings_text() if text is None else text).encode()
    return record(INSTANCE_STARTED, struct.pack("<IQI", instance_id, SEED, len(raw)) + raw)


def instance_killed(instance_id: int) -> bytes:
    """Return the record that kills an instance."""
    return record(INSTANCE_KILLED, struct.pack("<I", instance_id))


def endpoint_table(number: int, *rows: bytes) -> bytes:
    """Return the record of a numbered endpoint table with these rows."""
    return record(ENDPOINT_TABLE, struct.pack("<II", number, len(rows)) + b"".join(rows))


def endpoint_row(endpoint_id: bytes, state: int = SERVING, started_ms: float = 0.0) -> bytes:
    """Return an endpoint row with weight 1.5, machine type 2, zone 1 and cell 7."""
    return struct.pack("<fH6sBHBd", 1.5, 2, endpoint_id, 1, 7, state, started_ms)


def list_update(instance_id: int, table_number: int, kind: int) -> bytes:
    """Return the record of an endpoint list update with version 41 that refers to a table."""
    return record(ENDPOINT_LIST_UPDATE, struct.pack("<IIIB", instance_id, 41, table_number, kind))


def request_arrived(instance_id: int, request_id: int, flags: int = 1) -> bytes:
    """Return the arrival of a request.

    The request has class 0, tenant 1, item key 9, a budget of 240 ms and a cost hint of 12 ms.  The value of
    ``flags`` is a sum: 1 if the cost hint is valid, 2 if the client marked the request as a retry, and 4 if
    the request is a write.
    """
    fields = struct.pack("<IIHHQddH", instance_id, request_id, 0, 1, 9, 240.0, 12.0, flags)
    return record(REQUEST_ARRIVED, fields)


def attempt_ended(instance_id: int, request_id: int, status: int, *, finished: bool = False) -> bytes:
    """Return the end of attempt 0 of a request at endpoint A after 1 ms, without a load report."""
    fields = struct.pack("<IIH6sHdBB", instance_id, request_id, 0, ENDPOINT_A, status, 1.0, finished, 0)
    return record(ATTEMPT_ENDED, fields)
