"""Parses the endpoint lists that discovery sends; the results are typed endpoints and their addresses."""

from __future__ import annotations

import math
from collections.abc import Sequence
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
    """The value is not an endpoint list.

    Attributes:
        problem: the description of the error, for log lines.
    """

    def __init__(self, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """An endpoint list, or changes to one.

    Attributes:
        version: the version that discovery has assigned to this list, or to the list after these changes.
        complete: whether the listing contains all endpoints; otherwise, it contains only changed endpoints.
        endpoints: the endpoints, in the order of the list.
        addresses: the addresses of the endpoints, by endpoint id.
    """

    version: int
    complete: bool
    endpoints: tuple[Endpoint, ...]
    addresses: dict[EndpointId, Address]

    def event(self, *, cached: bool = False) -> EndpointListUpdate:
        """Return the event for the policy.

        Args:
            cached: whether the list comes from a cache and may be out of date.
        """
        return EndpointListUpdate(self._kind(cached), self.endpoints, self.version)

    def _kind(self, cached: bool) -> EndpointListKind:
        if cached:
            return EndpointListKind.CACHED
        return EndpointListKind.FULL if self.complete else EndpointListKind.DELTA


def merge_listings(listings: Sequence[EndpointListing]) -> EndpointListing:
    """Return the listing that has the effect of these listings one after the other.

    Of an endpoint that occurs more than once, the last entry counts.  The entries are in the order in which
    they were listed last, because the last of several endpoints at one address may replace the others.

    Args:
        listings: the listings, in the order in which they arrived; at least one.
    """
    complete = False
    endpoints: dict[EndpointId, Endpoint] = {}
    addresses: dict[EndpointId, Address] = {}
    for listing in listings:
        if listing.complete:
            complete = True
            endpoints.clear()
        for endpoint in listing.endpoints:
            endpoints.pop(endpoint.id, None)
            endpoints[endpoint.id] = endpoint
            addresses[endpoint.id] = listing.addresses[endpoint.id]
    return EndpointListing(listings[-1].version, complete, tuple(endpoints.values()), addresses)


class ListingReader:
    """Parses endpoint lists; translates the names of zones and machine types into indices for the policy.

    Attributes:
        zones: the names of the zones, in the order of the settings.
        machine_types: the names of the machine types, in the order of the settings.
    """

    def __init__(self, zones: tuple[str, ...], machine_types: tuple[str, ...]) -> None:
        self.zones = zones
        self.machine_types = machine_types

    def read(self, raw: Any) -> EndpointListing:
        """Translate a decoded JSON value into an endpoint listing.

        Raises:
            ListingError: the value is not an endpoint list.
        """
        try:
            return self._read(raw)
        except KeyError as error:
            raise ListingError(f"{error} is a missing field or an unknown lifecycle") from None
        except (TypeError, ValueError, AttributeError, OverflowError) as error:
            raise ListingError(f"not an endpoint list: {error}") from None

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
            weight=_finite_number(item.get("weight", 1.0)),
            machine_type=_index_of(item.get("machineType", ""), self.machine_types),
            zone=_index_of(item.get("zone", ""), self.zones),
            cell=_index_of(item.get("cell", 0), ()),
            started_ms=_finite_number(item.get("startedAtMs", 0)),
        )


def _finite_number(value: Any) -> float:
    """Return the value as a float.

    Raises:
        OverflowError: the value is an integer that is too large for a float.
        TypeError: the value has a type that cannot be converted.
        ValueError: the value is infinite or not a number.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value} is not a finite number")
    return number


def _index_of(name: Any, known_names: tuple[str, ...]) -> int:
    """Return the index of a name in the settings.

    A number is returned unchanged.  For a name that is not in the settings, the index is computed from a
    checksum of the name and is greater than those of the known names.  The computed index is not stored, so
    that new names take no memory.
    """
    if isinstance(name, int):
        return name
    if name in known_names:
        return known_names.index(name)
    return len(known_names) + crc32(str(name).encode())
