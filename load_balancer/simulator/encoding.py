"""Encode the policy's actions as records of the simulator's wire protocol.

Each action type has one encoder function.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

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
from load_balancer.simulator.codec import RECORD_HEADER, ActionCode

MAX_TEXT_BYTES = 1000
"""The maximum size of a text in bytes.  Longer texts are truncated: they are log lines for people to read."""

_SUBSCRIBE = 1
_TEXT = struct.Struct("<BIIH")


def _make_packer(code: ActionCode, layout: str) -> Callable[..., bytes]:
    """Return a function that packs the record header, the instance id and the fields in this layout."""
    record = struct.Struct("<BII" + layout)
    return partial(record.pack, int(code), record.size - RECORD_HEADER.size)


_pack_send_attempt = _make_packer(ActionCode.SEND_ATTEMPT, "I6sd")
_pack_reject_request = _make_packer(ActionCode.REJECT_REQUEST, "Id")
_pack_fail_request = _make_packer(ActionCode.FAIL_REQUEST, "I")
_pack_cancel_attempt = _make_packer(ActionCode.CANCEL_ATTEMPT, "IH")
_pack_set_timer = _make_packer(ActionCode.SET_TIMER, "Qd")
_pack_check_health = _make_packer(ActionCode.CHECK_HEALTH, "6s")
_pack_close_idle_connections = _make_packer(ActionCode.CLOSE_IDLE_CONNECTIONS, "6s")
_pack_poll_endpoint_list = _make_packer(ActionCode.POLL_ENDPOINT_LIST, "B")


def encode_action(instance_id: int, action: Action) -> bytes:
    """Encode one action of an instance as a record."""
    return _ENCODERS[type(action)](instance_id, action)


def encode_fault(instance_id: int, text: str) -> bytes:
    """Encode the record that reports an unexpected exception in the policy of an instance."""
    return _encode_text(ActionCode.INSTANCE_FAULT, instance_id, text)


def _encode_send_attempt(instance_id: int, action: SendAttempt) -> bytes:
    return _pack_send_attempt(instance_id, action.request_id, action.endpoint_id, action.timeout_ms)


def _encode_reject_request(instance_id: int, action: RejectRequest) -> bytes:
    return _pack_reject_request(instance_id, action.request_id, action.retry_after_ms)


def _encode_fail_request(instance_id: int, action: FailRequest) -> bytes:
    return _pack_fail_request(instance_id, action.request_id)


def _encode_cancel_attempt(instance_id: int, action: CancelAttempt) -> bytes:
    return _pack_cancel_attempt(instance_id, action.request_id, action.attempt_number)


def _encode_set_timer(instance_id: int, action: SetTimer) -> bytes:
    return _pack_set_timer(instance_id, action.token, action.at_ms)


def _encode_check_health(instance_id: int, action: CheckHealth) -> bytes:
    return _pack_check_health(instance_id, action.endpoint_id)


def _encode_close_idle_connections(instance_id: int, action: CloseIdleConnections) -> bytes:
    return _pack_close_idle_connections(instance_id, action.endpoint_id)


def _encode_poll_endpoint_list(instance_id: int, _action: PollEndpointList) -> bytes:
    return _pack_poll_endpoint_list(instance_id, _SUBSCRIBE)


def _encode_log_event(instance_id: int, action: LogEvent) -> bytes:
    return _encode_text(ActionCode.LOG_EVENT, instance_id, str(action))


def _encode_text(code: ActionCode, instance_id: int, text: str) -> bytes:
    content = text.encode("utf-8", "replace")[:MAX_TEXT_BYTES]
    length = _TEXT.size - RECORD_HEADER.size + len(content)
    return _TEXT.pack(code, length, instance_id, len(content)) + content


# The encoder of each action type, which is the type of the encoder's second parameter.  A Mapping type cannot
# express that key and parameter have the same type, so the parameter has the type Any here.
_ENCODERS: Mapping[type[Action], Callable[[int, Any], bytes]] = {
    SendAttempt: _encode_send_attempt,
    RejectRequest: _encode_reject_request,
    FailRequest: _encode_fail_request,
    CancelAttempt: _encode_cancel_attempt,
    SetTimer: _encode_set_timer,
    CheckHealth: _encode_check_health,
    CloseIdleConnections: _encode_close_idle_connections,
    PollEndpointList: _encode_poll_endpoint_list,
    LogEvent: _encode_log_event,
}
