"""The endpoint list as discovery writes it, read into typed endpoints and their addresses."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any
from zlib import crc32

from load_balancer.events import Endpoint, EndpointId, EndpointListKind, EndpointListUpdate, EndpointState
from load_balancer.proxy.address import Address, parse_address

_STATES = {
    "SERVING": EndpointState.SERVING,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}


class ListingError(Exception):
    """The value is no endpoint list.

    Attributes:
        problem: the field at fault and its error.
    """

    def __init__(self, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """An endpoint list, or changes to one.

    Attributes:
        version: discovery's number of the state after this list or change.
        complete: whether this names all endpoints; otherwise it names those that have changed.
        endpoints: the endpoints in the order of the list.
        addresses: where the endpoints listen, by id.
    """

    version: int
    complete: bool
    endpoints: tuple[Endpoint, ...]
    addresses: dict[EndpointId, Address]

    def event(self, *, cached: bool = False) -> EndpointListUpdate:
        """The event for the policy; cached marks a list that may be out of date."""
        return EndpointListUpdate(self._kind(cached), self.endpoints, self.version)

    def _kind(self, cached: bool) -> EndpointListKind:
        if cached:
            return EndpointListKind.CACHED
        return EndpointListKind.FULL if self.complete else EndpointListKind.DELTA


class ListingReader:
    """Reads endpoint lists; translates the names of zones and machine types into the policy's indices.

    Attributes:
        zones: the names of the zones, in the order of the settings.
        machine_types: the names of the machine types, in the order of the settings.
    """

    def __init__(self, zones: tuple[str, ...], machine_types: tuple[str, ...]) -> None:
        self.zones = zones
        self.machine_types = machine_types

    def read(self, raw: Any) -> EndpointListing:
        """Translate one decoded JSON value.

        Raises:
            ListingError: the value is no endpoint list.
        """
        try:
            return self._read(raw)
        except KeyError as error:
            raise ListingError(f"{error} is missing or unknown") from None
        except (TypeError, ValueError, AttributeError, OverflowError) as error:
            raise ListingError(f"not a list of servers: {error}") from None

    def _read(self, raw: Any) -> EndpointListing:
        endpoints: list[Endpoint] = []
        addresses: dict[EndpointId, Address] = {}
        for item in raw["instances"]:
            endpoint = self._read_endpoint(item)
            endpoints.append(endpoint)
            addresses[endpoint.id] = parse_address(item["hostPort"])
        return EndpointListing(
            version=int(raw["generation"]),
            complete=bool(raw["reset"]),
            endpoints=tuple(endpoints),
            addresses=addresses,
        )

    def _read_endpoint(self, item: dict[str, Any]) -> Endpoint:
        return Endpoint(
            id=item["instanceId"].encode(),
            state=_STATES[item["lifecycle"]],
            weight=_finite(item.get("weight", 1.0)),
            machine_type=_index_of(item.get("machineType", ""), self.machine_types),
            zone=_index_of(item.get("zone", ""), self.zones),
            cell=_index_of(item.get("cell", 0), ()),
            started_ms=_finite(item.get("startedAtMs", 0)),
        )


def _finite(value: Any) -> float:
    """The value as a number.  ValueError where it is infinite or not a number."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value} is not a finite number")
    return number


def _index_of(name: Any, known_names: tuple[str, ...]) -> int:
    """The index of a name in the settings, or for another name an index that is its own.

    The index of another name is computed from it rather than stored, so that new names take no memory.
    """
    if isinstance(name, int):
        return name
    if name in known_names:
        return known_names.index(name)
    return len(known_names) + crc32(str(name).encode())
