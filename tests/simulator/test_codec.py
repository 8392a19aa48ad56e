"""Tests of decoding event records field by field, and of encoding actions and reply frames byte for byte."""

from __future__ import annotations

import struct
from typing import get_args

import pytest

from load_balancer.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    LogEvent,
    PollEndpointList,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from load_balancer.events import (
    AttemptEnded,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    EndpointState,
    HealthCheckEnded,
    Outcome,
    PeerMessage,
    RequestAbandoned,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from load_balancer.settings import RequestClass, Settings
from load_balancer.simulator.codec import Batch, WireError, encode_reply, split_records
from load_balancer.simulator.decoding import (
    Decoder,
    InstanceEvent,
    InstanceKilled,
    InstanceStarted,
    Record,
    parse_settings,
)
from load_balancer.simulator.encoding import encode_action, encode_fault
from tests.simulator.frames import (
    ATTEMPT_ENDED,
    CACHED,
    DELTA,
    DRAINING,
    ENDPOINT_A,
    ENDPOINT_B,
    FAILED,
    FULL,
    HEALTH_CHECK_ENDED,
    PEER_MESSAGE,
    REQUEST_ABANDONED,
    RESPONSE_STARTED,
    SEED,
    TIMER_FIRED,
    attempt_ended,
    endpoint_row,
    endpoint_table,
    instance_killed,
    instance_started,
    list_update,
    record,
    request_arrived,
    settings_text,
)

ENCODED_ACTIONS: list[tuple[Action, str]] = [
    (
        SendAttempt(0x5D3A91C4, ENDPOINT_A, 80.0),
        "41 16000000 03000000 c4913a5d 0a124a07 8b13 0000000000005440",
    ),
    (CancelAttempt(0x5D3A91C4, 0), "44 0a000000 03000000 c4913a5d 0000"),
    (CloseIdleConnections(ENDPOINT_B), "47 0a000000 03000000 0a9011f2 b413"),
    (LogEvent("two servers known"), "49 17000000 03000000 1100 74776f2073657276657273206b6e6f776e"),
    (FailRequest(0x0E6F2B19), "43 08000000 03000000 192b6f0e"),
    (RejectRequest(0x0E6F2B19, 250.0), "42 10000000 03000000 192b6f0e 0000000000406f40"),
    (CheckHealth(ENDPOINT_B), "46 0a000000 03000000 0a9011f2 b413"),
    (PollEndpointList(), "4b 05000000 03000000 01"),
    (SetTimer(0x4D, 8413.25), "45 14000000 03000000 4d00000000000000 00000000a06ec040"),
]


def decode(*records: bytes) -> list[Record]:
    """Return the decoded records of one batch, without the endpoint tables."""
    decoder = Decoder()
    batch = Batch(241.004, len(records), b"".join(records))
    results = (decoder.decode(code, fields) for code, fields in split_records(batch))
    return [decoded for decoded in results if decoded is not None]


@pytest.mark.parametrize(
    ("encoded", "event"),
    [
        (request_arrived(3, 99), RequestArrived(99, 0, 240.0, 1, 9, 12.0, False, False)),
        (request_arrived(3, 100, flags=6), RequestArrived(100, 0, 240.0, 1, 9, None, True, True)),
        (
            record(
                ATTEMPT_ENDED, struct.pack("<IIH6sHdBB2f", 3, 99, 1, ENDPOINT_A, 200, 18.5, 1, 2, 0.5, 3.0)
            ),
            AttemptEnded(99, 1, ENDPOINT_A, Outcome.OK, 18.5, True, (0.5, 3.0)),
        ),
        (
            record(RESPONSE_STARTED, struct.pack("<IIHd6s", 3, 99, 1, 18.5, ENDPOINT_A)),
            ResponseStarted(99, 1, ENDPOINT_A, 18.5),
        ),
        (record(REQUEST_ABANDONED, struct.pack("<II", 3, 99)), RequestAbandoned(99)),
        (record(TIMER_FIRED, struct.pack("<IQ", 3, 77)), TimerFired(77)),
        (
            record(HEALTH_CHECK_ENDED, struct.pack("<I6sHdB", 3, ENDPOINT_B, 521, 1.5, 0)),
            HealthCheckEnded(ENDPOINT_B, Outcome.CONNECT_FAILED, 1.5),
        ),
        (record(PEER_MESSAGE, struct.pack("<IHH", 3, 2, 4) + b"hi 7"), PeerMessage(2, b"hi 7")),
        (instance_killed(3), InstanceKilled()),
    ],
    ids=lambda value: None if isinstance(value, bytes) else type(value).__name__,
)
def test_event_record_is_decoded_field_by_field(encoded: bytes, event: InstanceEvent) -> None:
    assert decode(encoded) == [(3, event)]


def test_records_of_one_batch_are_decoded_in_order() -> None:
    records = decode(
        request_arrived(3, 99), record(REQUEST_ABANDONED, struct.pack("<II", 3, 99)), request_arrived(4, 100)
    )
    assert [(instance_id, type(decoded)) for instance_id, decoded in records] == [
        (3, RequestArrived),
        (3, RequestAbandoned),
        (4, RequestArrived),
    ]


def test_start_record_carries_seed_and_settings() -> None:
    classes = (RequestClass("", latency_objective_ms=1000.0, deadline_ms=3000.0),)
    ((instance_id, start),) = decode(instance_started(6))
    assert instance_id == 6
    assert isinstance(start, InstanceStarted)
    assert start.seed == SEED
    assert isinstance(start.settings, Settings)
    assert start.settings.classes == classes


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (200, Outcome.OK),
        (502, Outcome.ERROR),
        (429, Outcome.REJECTED),
        (408, Outcome.TIMEOUT),
        (521, Outcome.CONNECT_FAILED),
        (520, Outcome.RESET),
        (444, Outcome.CANCELLED),
        (409, Outcome.NOT_SENT),
    ],
)
def test_status_is_decoded_to_outcome(status: int, outcome: Outcome) -> None:
    ((_, event),) = decode(attempt_ended(3, 9, status))
    assert isinstance(event, AttemptEnded)
    assert event.outcome is outcome


def test_list_update_refers_to_latest_table_with_its_number() -> None:
    a = Endpoint(ENDPOINT_A, EndpointState.SERVING, 1.5, 2, 1, 7, 0.0)
    b = Endpoint(ENDPOINT_B, EndpointState.DRAINING, 1.5, 2, 1, 7, 8.0)
    records = decode(
        endpoint_table(0, endpoint_row(ENDPOINT_A)),
        list_update(1, 0, CACHED),
        endpoint_table(0, endpoint_row(ENDPOINT_B, DRAINING, started_ms=8.0)),
        list_update(2, 0, FULL),
        list_update(1, 0, DELTA),
        list_update(1, 9, FAILED),
    )
    assert records == [
        (1, EndpointListUpdate(EndpointListKind.CACHED, (a,), 41)),
        (2, EndpointListUpdate(EndpointListKind.FULL, (b,), 41)),
        (1, EndpointListUpdate(EndpointListKind.DELTA, (b,), 41)),
        (1, EndpointListUpdate(EndpointListKind.FAILED, (), 41)),
    ]


@pytest.mark.parametrize(
    ("encoded", "location", "problem"),
    [
        (record(99, b""), "record 99", "unknown"),
        (record(REQUEST_ABANDONED, b"\x01"), "record 6", "cannot be read"),
        (attempt_ended(4, 5, 777), "record 5", "777"),
        (list_update(4, 3, CACHED), "record 2", "cannot be read: 3"),
        (endpoint_table(16), "record 11", "table number 16 is out of range"),
        (endpoint_table(0, endpoint_row(ENDPOINT_A)[:-1]), "record 11", "shorter than its number of rows"),
        (record(PEER_MESSAGE, struct.pack("<IHH", 3, 2, 4) + b"hi"), "record 9", "cut short"),
        (instance_started(4, settings_text({"profiles.count": "0"})), "settings", "profiles.count"),
        (request_arrived(4, 1)[:-3], "record 3", "cut short"),
    ],
)
def test_malformed_record_names_location_and_problem(encoded: bytes, location: str, problem: str) -> None:
    with pytest.raises(WireError) as caught:
        decode(encoded)
    assert caught.value.location == location
    assert problem in caught.value.problem


def test_invalid_setting_error_names_the_path() -> None:
    with pytest.raises(WireError, match=r"profiles\.0\.aimMs is not a number"):
        parse_settings(settings_text({"profiles.0.aimMs": "soon"}))


def test_spaces_in_settings_lines_and_lines_without_value_are_ignored() -> None:
    text = settings_text().replace("=", " = ") + "\n\nno value here\n"
    assert parse_settings(text) == parse_settings(settings_text())


@pytest.mark.parametrize(("action", "expected"), ENCODED_ACTIONS)
def test_action_is_encoded_byte_for_byte(action: Action, expected: str) -> None:
    assert encode_action(3, action) == bytes.fromhex(expected)


def test_every_action_type_is_encoded() -> None:
    assert {type(action) for action, _ in ENCODED_ACTIONS} == set(get_args(Action))


def test_instance_fault_is_encoded_byte_for_byte() -> None:
    encoded = encode_fault(3, "index out of range")
    assert encoded == bytes.fromhex("4a 18000000 03000000 1200") + b"index out of range"


@pytest.mark.parametrize("records", [[], [b"one"], [b"one", b"three"]])
def test_reply_frame_counts_records_and_bytes(records: list[bytes]) -> None:
    body = b"".join(records)
    assert encode_reply(records) == struct.pack("<II", len(records), len(body)) + body


def test_empty_reply_is_eight_zero_bytes() -> None:
    assert encode_reply([]) == bytes(8)


def test_long_log_text_is_truncated() -> None:
    assert len(encode_action(3, LogEvent("x" * 100_000))) < 2000
