"""Tests of the adapter: the independence of its instances, and its handling of empty and malformed input."""

from __future__ import annotations

import struct
import subprocess
import sys
from io import BytesIO

import pytest

from load_balancer.simulator.adapter import serve
from tests.simulator.frames import (
    CACHED,
    ENDPOINT_A,
    ENDPOINT_B,
    INSTANCE_FAULT,
    REQUEST_ABANDONED,
    SEND_ATTEMPT,
    attempt_ended,
    batch,
    endpoint_row,
    endpoint_table,
    instance_killed,
    instance_started,
    list_update,
    record,
    request_arrived,
    settings_text,
)
from tools.adapter_protocol import read_replies

ADAPTER_MODULE = "load_balancer.simulator.adapter"


def serve_batches(*batches: bytes) -> list[list[tuple[int, bytes]]]:
    """Run the adapter in this process on these batches.

    Returns:
        The replies in order, each as a list with the code and the fields of each record.
    """
    sink = BytesIO()
    serve(BytesIO(b"".join(batches)), sink)
    replies = read_replies(sink.getvalue())
    return [[(action.code, action.fields) for action in reply.actions] for reply in replies]


def run_adapter(raw: bytes) -> subprocess.CompletedProcess[bytes]:
    """Run the adapter as a separate process on this input, and wait for it to exit."""
    command = [sys.executable, "-m", ADAPTER_MODULE]
    return subprocess.run(command, input=raw, capture_output=True, check=False)


def test_empty_batch_gets_an_empty_reply() -> None:
    assert serve_batches(batch()) == [[]]


def test_instance_killed_and_restarted_in_one_batch_loses_its_endpoints() -> None:
    first, second = serve_batches(
        batch(
            instance_started(4),
            endpoint_table(0, endpoint_row(ENDPOINT_A)),
            list_update(4, 0, CACHED),
            request_arrived(4, 1),
        ),
        batch(
            instance_killed(4),
            instance_started(4),
            endpoint_table(1, endpoint_row(ENDPOINT_B)),
            list_update(4, 1, CACHED),
            request_arrived(4, 2),
        ),
    )
    sent_to = [[fields[8:14] for code, fields in reply if code == SEND_ATTEMPT] for reply in (first, second)]
    assert sent_to == [[ENDPOINT_A], [ENDPOINT_B]]


def test_fault_of_one_instance_is_reported_and_other_instances_continue() -> None:
    start = (
        instance_started(4),
        instance_started(5),
        endpoint_table(0, endpoint_row(ENDPOINT_A)),
        list_update(4, 0, CACHED),
        list_update(5, 0, CACHED),
    )
    attempt_never_sent = attempt_ended(4, 55, 200, finished=True)
    (reply,) = serve_batches(batch(*start, attempt_never_sent, request_arrived(5, 7)))
    assert [code for code, _ in reply if code in (INSTANCE_FAULT, SEND_ATTEMPT)] == [
        INSTANCE_FAULT,
        SEND_ATTEMPT,
    ]
    assert b"attempt 0 of request 55 is not in flight" in next(
        fields for code, fields in reply if code == INSTANCE_FAULT
    )


def test_batch_of_thousands_of_arrivals_gets_a_reply() -> None:
    start = batch(
        instance_started(4),
        endpoint_table(0, endpoint_row(ENDPOINT_A), endpoint_row(ENDPOINT_B)),
        list_update(4, 0, CACHED),
    )
    _, reply = serve_batches(start, batch(*(request_arrived(4, request_id) for request_id in range(1, 3001))))
    assert any(code == SEND_ATTEMPT for code, _ in reply)


def test_command_exits_with_code_0_at_the_end_of_input() -> None:
    completed = run_adapter(batch())
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, bytes(8), b"")


@pytest.mark.parametrize(
    "raw",
    [
        pytest.param(b"\x01\x02\x03", id="header cut short"),
        pytest.param(batch(request_arrived(4, 1))[:-3], id="body cut short"),
        pytest.param(struct.pack("<IdI", 0, 1.0, 1), id="fewer records than announced"),
        pytest.param(batch(record(99, b"")), id="unknown record code"),
        pytest.param(batch(record(REQUEST_ABANDONED, b"\x01")), id="fields cut short"),
        pytest.param(batch(attempt_ended(4, 5, 777, finished=True)), id="unknown status"),
        pytest.param(batch(list_update(4, 3, CACHED)), id="unknown endpoint table"),
        pytest.param(batch(request_arrived(4, 1)), id="instance not started"),
        pytest.param(
            batch(instance_started(4, settings_text({"profiles.count": "0"}))), id="invalid settings"
        ),
        pytest.param(batch(instance_started(4)) + b"\x00", id="surplus byte"),
    ],
)
def test_command_exits_with_code_2_and_one_error_line_on_malformed_input(raw: bytes) -> None:
    completed = run_adapter(raw)
    text = completed.stderr.decode()
    assert completed.returncode == 2
    assert text.startswith(f"{ADAPTER_MODULE}: ")
    assert text.count("\n") == 1
    assert "Traceback" not in text
