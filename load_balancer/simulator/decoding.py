"""Decode the event records of the simulator's wire protocol into the event types of the policy.

Each record code has one decoder function.  This module makes no load-balancing decisions.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from load_balancer.events import (
    AttemptEnded,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    EndpointState,
    Event,
    HealthCheckEnded,
    Outcome,
    PeerMessage,
    RequestAbandoned,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from load_balancer.settings import Settings, SettingsError
from load_balancer.settings_format import read_settings
from load_balancer.simulator.codec import EventCode, WireError

TABLE_COUNT = 16
"""The number of endpoint tables; tables are numbered from 0 to ``TABLE_COUNT - 1``."""

# The fixed-size fields of each record.  Where the last field is a count of bytes, rows or floats, that many
# of them follow the fixed-size fields.
_INSTANCE_STARTED = struct.Struct("<IQI")
_ENDPOINT_LIST_UPDATE = struct.Struct("<IIIB")
_REQUEST_ARRIVED = struct.Struct("<IIHHQddH")
_RESPONSE_STARTED = struct.Struct("<IIHd6s")
_ATTEMPT_ENDED = struct.Struct("<IIH6sHdBB")
_REQUEST_ABANDONED = struct.Struct("<II")
_TIMER_FIRED = struct.Struct("<IQ")
_HEALTH_CHECK_ENDED = struct.Struct("<I6sHdB")
_PEER_MESSAGE = struct.Struct("<IHH")
_INSTANCE_KILLED = struct.Struct("<I")
_ENDPOINT_TABLE = struct.Struct("<II")
_ENDPOINT_ROW = struct.Struct("<fH6sBHBd")

# The bits of the flags field of a REQUEST_ARRIVED record.
_COST_HINT_VALID = 1
_CLIENT_RETRY = 2
_WRITE = 4

_OUTCOMES_BY_STATUS: Mapping[int, Outcome] = {
    200: Outcome.OK,
    502: Outcome.ERROR,
    429: Outcome.REJECTED,
    408: Outcome.TIMEOUT,
    521: Outcome.CONNECT_FAILED,
    520: Outcome.RESET,
    444: Outcome.CANCELLED,
    409: Outcome.NOT_SENT,
}


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An instance starts without earlier state.

    Attributes:
        seed: the seed of the instance's random number generator.
        settings: the settings of the instance's policy.
    """

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class InstanceKilled:
    """An instance was killed and lost its state; a later record may start the instance again."""


InstanceEvent: TypeAlias = Event | InstanceStarted | InstanceKilled

Record: TypeAlias = tuple[int, InstanceEvent]
"""The id of the instance that a record is for, and the event.

This is a plain tuple rather than a class to keep the cost low, because one is built for every record.
"""


def parse_settings(text: str) -> Settings:
    """Parse settings from lines of the form ``path=value``; lines without an equals sign are ignored.

    Raises:
        WireError: a setting is missing or invalid; the error's ``problem`` names the path of the setting.
    """
    values: dict[str, str] = {}
    for line in text.splitlines():
        path, separator, value = line.partition("=")
        if separator:
            values[path.strip()] = value.strip()
    try:
        return read_settings(values)
    except SettingsError as error:
        raise WireError("settings", str(error)) from None


class Decoder:
    """A decoder for all event records of one adapter process.

    It stores the numbered endpoint tables, which all instances of the process share.  A table is sent once
    for the many endpoint list updates that refer to it.  A table number may be reused within a batch, so the
    records must be decoded in the order in which they were received.
    """

    def __init__(self) -> None:
        self._tables: dict[int, tuple[Endpoint, ...]] = {}
        self._decoders: dict[int, Callable[[bytes], Record | None]] = {
            **_STATELESS_DECODERS,
            EventCode.ENDPOINT_TABLE: self._store_table,
            EventCode.ENDPOINT_LIST_UPDATE: self._decode_endpoint_list_update,
        }

    def decode(self, code: int, fields: bytes) -> Record | None:
        """Decode one record.

        Returns:
            The decoded record, or None for an endpoint table.  A table belongs to no single instance, so it
            is only stored for later endpoint list updates.

        Raises:
            WireError: the code is unknown, or the fields are malformed, hold invalid settings or refer to an
                unknown table.
        """
        decoder = self._decoders.get(code)
        if decoder is None:
            raise WireError(f"record {code}", "the record code is unknown")
        try:
            return decoder(fields)
        except (struct.error, ValueError, KeyError) as error:
            raise WireError(f"record {code}", f"the fields cannot be read: {error}") from error

    def _store_table(self, fields: bytes) -> None:
        number, row_count = _ENDPOINT_TABLE.unpack_from(fields)
        if number >= TABLE_COUNT:
            raise ValueError(f"table number {number} is out of range")
        rows_end = _ENDPOINT_TABLE.size + row_count * _ENDPOINT_ROW.size
        if len(fields) < rows_end:
            raise ValueError("the endpoint table is shorter than its number of rows requires")
        self._tables[number] = _decode_rows(fields[_ENDPOINT_TABLE.size : rows_end])

    def _decode_endpoint_list_update(self, fields: bytes) -> Record:
        instance_id, version, table_number, kind_number = _ENDPOINT_LIST_UPDATE.unpack_from(fields)
        kind = EndpointListKind(kind_number)
        # An update of kind FAILED carries no endpoint list, so its table number has no meaning.
        endpoints = () if kind is EndpointListKind.FAILED else self._tables[table_number]
        return instance_id, EndpointListUpdate(kind, endpoints, version)


def _decode_rows(rows: bytes) -> tuple[Endpoint, ...]:
    return tuple(
        Endpoint(endpoint_id, EndpointState(state), weight, machine_type, zone, cell, started_ms)
        for weight, machine_type, endpoint_id, zone, cell, state, started_ms in _ENDPOINT_ROW.iter_unpack(
            rows
        )
    )


def _decode_instance_started(fields: bytes) -> Record:
    instance_id, seed, length = _INSTANCE_STARTED.unpack_from(fields)
    text = _read_bytes(fields, _INSTANCE_STARTED.size, length)
    return instance_id, InstanceStarted(seed, parse_settings(text.decode()))


def _decode_request_arrived(fields: bytes) -> Record:
    instance_id, request_id, class_index, tenant, key, budget_ms, cost_hint_ms, flags = (
        _REQUEST_ARRIVED.unpack_from(fields)
    )
    event = RequestArrived(
        request_id,
        class_index,
        budget_ms,
        tenant,
        key,
        cost_hint_ms if flags & _COST_HINT_VALID else None,
        bool(flags & _CLIENT_RETRY),
        bool(flags & _WRITE),
    )
    return instance_id, event


def _decode_response_started(fields: bytes) -> Record:
    instance_id, request_id, attempt_number, elapsed_ms, endpoint_id = _RESPONSE_STARTED.unpack_from(fields)
    return instance_id, ResponseStarted(request_id, attempt_number, endpoint_id, elapsed_ms)


def _decode_attempt_ended(fields: bytes) -> Record:
    instance_id, request_id, attempt_number, endpoint_id, status, elapsed_ms, finished, value_count = (
        _ATTEMPT_ENDED.unpack_from(fields)
    )
    event = AttemptEnded(
        request_id,
        attempt_number,
        endpoint_id,
        _OUTCOMES_BY_STATUS[status],
        elapsed_ms,
        bool(finished),
        _decode_load_report(fields, _ATTEMPT_ENDED.size, value_count),
    )
    return instance_id, event


def _decode_request_abandoned(fields: bytes) -> Record:
    instance_id, request_id = _REQUEST_ABANDONED.unpack_from(fields)
    return instance_id, RequestAbandoned(request_id)


def _decode_timer_fired(fields: bytes) -> Record:
    instance_id, token = _TIMER_FIRED.unpack_from(fields)
    return instance_id, TimerFired(token)


def _decode_health_check_ended(fields: bytes) -> Record:
    instance_id, endpoint_id, status, elapsed_ms, value_count = _HEALTH_CHECK_ENDED.unpack_from(fields)
    load_report = _decode_load_report(fields, _HEALTH_CHECK_ENDED.size, value_count)
    event = HealthCheckEnded(endpoint_id, _OUTCOMES_BY_STATUS[status], elapsed_ms, load_report)
    return instance_id, event


def _decode_peer_message(fields: bytes) -> Record:
    instance_id, sender, length = _PEER_MESSAGE.unpack_from(fields)
    return instance_id, PeerMessage(sender, _read_bytes(fields, _PEER_MESSAGE.size, length))


def _decode_instance_killed(fields: bytes) -> Record:
    (instance_id,) = _INSTANCE_KILLED.unpack_from(fields)
    return instance_id, InstanceKilled()


def _decode_load_report(fields: bytes, start: int, value_count: int) -> tuple[float, ...]:
    """Decode the load report at this position; it is empty in most records."""
    if not value_count:
        return ()
    values: tuple[float, ...] = struct.unpack_from(f"<{value_count}f", fields, start)
    return values


def _read_bytes(fields: bytes, start: int, length: int) -> bytes:
    """Return ``length`` bytes from this position.

    Raises:
        ValueError: the record ends before these bytes do.
    """
    if len(fields) < start + length:
        raise ValueError("the variable-length field at the end of the record is cut short")
    return fields[start : start + length]


_STATELESS_DECODERS: Mapping[int, Callable[[bytes], Record]] = {
    EventCode.INSTANCE_STARTED: _decode_instance_started,
    EventCode.REQUEST_ARRIVED: _decode_request_arrived,
    EventCode.RESPONSE_STARTED: _decode_response_started,
    EventCode.ATTEMPT_ENDED: _decode_attempt_ended,
    EventCode.REQUEST_ABANDONED: _decode_request_abandoned,
    EventCode.TIMER_FIRED: _decode_timer_fired,
    EventCode.HEALTH_CHECK_ENDED: _decode_health_check_ended,
    EventCode.PEER_MESSAGE: _decode_peer_message,
    EventCode.INSTANCE_KILLED: _decode_instance_killed,
}
