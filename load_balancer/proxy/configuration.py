"""Loads the configuration of a node from its environment and the file that NODE_CONFIG names."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from load_balancer.proxy.address import Address
from load_balancer.proxy.configuration_file import (
    FileStamp,
    read_file,
    read_file_stamp,
    read_file_with_retries,
)
from load_balancer.proxy.configuration_values import (
    ConfigurationError,
    read_address,
    read_file_address,
    read_limit,
    read_member,
    read_names,
    read_seed,
    read_variable,
)
from load_balancer.proxy.discovery.endpoint_listing import EndpointListing, ListingError, ListingReader
from load_balancer.settings import Settings, SettingsError
from load_balancer.settings_format import read_settings

_DEFAULT_CONNECTION_IDLE_MS = 15_000.0
# With fewer descriptors, a node could not serve a single request.  Any higher limit of the platform is
# accepted, even if it allows only few connections.
_MIN_SOCKETS = 16
_MIN_MEMORY_MB = 1


class Limits(NamedTuple):
    """The resource limits that the platform sets for one node.

    Attributes:
        memory_mb: the memory in megabytes.
        sockets: the number of file descriptors.
    """

    memory_mb: int
    sockets: int


@dataclass(frozen=True, slots=True, eq=False)
class NodeConfiguration:
    """The configuration of a node.

    Attributes:
        path: the path of the configuration file, which is read again at SIGHUP.
        name: the node's name in log lines.
        listen: the address at which the node listens for clients.
        discovery: the address at which discovery listens.
        seed: the seed of the policy's random numbers.
        limits: the resource limits that the platform sets.
        settings: the policy's settings.
        listing_reader: parses endpoint lists, with the names of zones and machine types from the settings.
        cached_listing: the endpoint list as it was when the file was written; None if the file has no list.
        connection_idle_ms: the idle time in milliseconds after which endpoints close a connection.
        file_discovery: the address of discovery according to the file; None if the file has no such address.
        file_stamp: identifies the content of the file that was read.
    """

    path: str
    name: str
    listen: Address
    discovery: Address
    seed: int
    limits: Limits
    settings: Settings
    listing_reader: ListingReader
    cached_listing: EndpointListing | None
    connection_idle_ms: float
    file_discovery: Address | None = None
    file_stamp: FileStamp | None = None


def load_configuration(environment: Mapping[str, str]) -> NodeConfiguration:
    """Load the configuration of this process.

    Raises:
        ConfigurationError: a value is missing, cannot be read or is out of range.
    """
    path = read_variable(environment, "NODE_CONFIG")
    file_stamp = read_file_stamp(path)  # taken before the read, so that a later write is detected
    raw = read_file_with_retries(path)
    raw_settings = read_member(raw, "settings", dict)
    setting_texts = dict(flatten_settings(raw_settings))
    settings = _read_settings(setting_texts)
    listing_reader = ListingReader(read_names(raw_settings, "azs"), read_names(raw_settings, "models"))
    raw_limits = read_member(raw, "limits", dict)
    return NodeConfiguration(
        path=path,
        name=environment.get("NODE_NAME") or read_member(raw, "name", str),
        listen=read_address(environment, raw, "NODE_LISTEN", "listen"),
        discovery=read_address(environment, raw, "NODE_DISCOVERY", "discovery"),
        seed=read_seed(raw),
        limits=Limits(
            memory_mb=read_limit(raw_limits, "memory_mb", _MIN_MEMORY_MB),
            sockets=read_limit(raw_limits, "sockets", _MIN_SOCKETS),
        ),
        settings=settings,
        listing_reader=listing_reader,
        cached_listing=_read_cached_listing(raw.get("known"), listing_reader),
        connection_idle_ms=_read_connection_idle_ms(setting_texts),
        file_discovery=read_file_address(raw, "discovery") if "discovery" in raw else None,
        file_stamp=file_stamp,
    )


def reload_discovery_address(path: str) -> Address:
    """Return the address of discovery in the current content of the configuration file.

    The environment is ignored, because its address dates from the time at which the process was started.

    Raises:
        ConfigurationError: the file cannot be read or has no address.
    """
    return read_file_address(read_file(path), "discovery")


def flatten_settings(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield nested JSON as pairs of a dotted path and a text, the form that read_settings() takes."""
    if isinstance(value, dict):
        for name, member in value.items():
            yield from flatten_settings(member, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for i, item in enumerate(value):
            yield from flatten_settings(item, f"{path}.{i}")
    elif isinstance(value, list):
        yield path, ",".join(str(item).replace(",", "_") for item in value)
    elif isinstance(value, bool):
        yield path, "true" if value else "false"
    elif value is not None:
        yield path, str(value)


def _read_settings(setting_texts: Mapping[str, str]) -> Settings:
    try:
        return read_settings(setting_texts)
    except SettingsError as error:
        raise ConfigurationError.within("settings", error) from None


def _read_cached_listing(raw: Any, listing_reader: ListingReader) -> EndpointListing | None:
    if raw is None:
        return None
    try:
        return listing_reader.read(raw)
    except ListingError as error:
        raise ConfigurationError.within("known", error) from None


def _read_connection_idle_ms(setting_texts: Mapping[str, str]) -> float:
    text = setting_texts.get("policyLimits.connIdleMs", str(_DEFAULT_CONNECTION_IDLE_MS))
    try:
        idle_ms = float(text)
    except ValueError:
        idle_ms = -1.0
    if not 0 < idle_ms < float("inf"):
        raise ConfigurationError.within("settings", f"policyLimits.connIdleMs is out of range: {text}")
    return idle_ms
