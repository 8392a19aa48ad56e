"""Reads and checks what a node is started with: its environment and the file that NODE_CONFIG names."""

from __future__ import annotations

import errno
import itertools
import json
import os
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from load_balancer.proxy.address import Address, parse_address
from load_balancer.proxy.discovery.endpoint_listing import EndpointListing, ListingError, ListingReader
from load_balancer.settings import Settings, SettingsError
from load_balancer.settings_format import read_settings

MemberType = TypeVar("MemberType")

_DEFAULT_CONNECTION_IDLE_MS = 15_000.0
# With fewer no request can be served.  A tight limit is the platform's to set, and no reason not to start: a
# node that required 64 MB at the least did not come up on a machine of 48.
_MIN_SOCKETS = 16
_MIN_MEMORY_MB = 1
_SEED_MASK = 2**64 - 1
# At a start: pauses before a file that was half written, or could not be opened, is read again.
_HALF_WRITTEN_RETRY_S = (0.05, 0.1, 0.2, 0.4)
_TRANSIENT_RETRY_S = (*_HALF_WRITTEN_RETRY_S, 0.8, 1.0, 1.0, 1.0)
_TRANSIENT_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO, errno.EAGAIN})


class ConfigurationError(Exception):
    """A configuration that cannot be used.

    Attributes:
        key: the environment variable, or the member of the file, that is at fault.
        problem: what is wrong with it, including its value.
    """

    def __init__(self, key: str, problem: str, *, separator: str = " ") -> None:
        super().__init__(f"{key}{separator}{problem}")
        self.key = key
        self.problem = problem

    @classmethod
    def within(cls, key: str, problem: object) -> ConfigurationError:
        """An error somewhere in the value of key; the problem says where."""
        return cls(key, str(problem), separator=": ")


@dataclass(frozen=True, slots=True)
class Limits:
    """What the platform allows one node.

    Attributes:
        memory_mb: memory in megabytes.
        sockets: file descriptors.
    """

    memory_mb: int
    sockets: int


@dataclass(frozen=True, slots=True)
class FileStamp:
    """Identifies one content of a file; another one has another stamp."""

    inode: int
    size: int
    modified_ns: int


@dataclass(frozen=True, slots=True)
class NodeConfiguration:
    """Everything that a node knows when it starts.

    Attributes:
        path: the configuration file, which is read again at SIGHUP.
        name: the node's name in log lines.
        listen: where the node listens for clients.
        discovery: where discovery listens.
        seed: the seed of the policy's random numbers.
        limits: what the platform allows.
        settings: the policy's settings.
        listing_reader: reads endpoint lists with the names that the settings define.
        cached_listing: the endpoint list that was in force when the file was written, if there was one.
        connection_idle_ms: after how many idle milliseconds endpoints close a connection.
        file_discovery: where discovery listens by the file, None where that names no address.
        file_stamp: identifies the content of the file as it was read.
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
    """Read the configuration of this process.

    Raises:
        ConfigurationError: something is missing, cannot be read or is out of range.
    """
    path = _read_variable(environment, "NODE_CONFIG")
    file_stamp = read_file_stamp(path)  # before the reading: what is written from here on is newer
    raw = _read_file_with_retries(path)
    raw_settings = _read_member(raw, "settings", dict)
    setting_texts = dict(flatten_settings(raw_settings))
    settings = _read_settings(setting_texts)
    listing_reader = ListingReader(_read_names(raw_settings, "azs"), _read_names(raw_settings, "models"))
    raw_limits = _read_member(raw, "limits", dict)
    return NodeConfiguration(
        path=path,
        name=environment.get("NODE_NAME") or _read_member(raw, "name", str),
        listen=_read_address(environment, raw, "NODE_LISTEN", "listen"),
        discovery=_read_address(environment, raw, "NODE_DISCOVERY", "discovery"),
        seed=_parse_seed(_read_member(raw, "seed", str)),
        limits=Limits(
            memory_mb=_read_limit(raw_limits, "memory_mb", _MIN_MEMORY_MB),
            sockets=_read_limit(raw_limits, "sockets", _MIN_SOCKETS),
        ),
        settings=settings,
        listing_reader=listing_reader,
        cached_listing=_read_cached_listing(raw.get("known"), listing_reader),
        connection_idle_ms=_read_connection_idle_ms(setting_texts),
        file_discovery=_read_address({}, raw, "discovery", "discovery") if "discovery" in raw else None,
        file_stamp=file_stamp,
    )


def read_file_stamp(path: str) -> FileStamp | None:
    """The stamp of a file as it is now, None where there is no such file."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return FileStamp(status.st_ino, status.st_size, status.st_mtime_ns)


def reload_discovery_address(path: str) -> Address:
    """Where discovery listens by the file as it stands now.

    The environment is not looked at: it names the address of the start.

    Raises:
        ConfigurationError: the file cannot be read or names no address.
    """
    return _read_address({}, _read_file(path), "discovery", "discovery")


def flatten_settings(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Turn nested JSON into the path to value pairs that settings are read from."""
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


def _read_variable(environment: Mapping[str, str], name: str) -> str:
    value = environment.get(name, "")
    if not value:
        raise ConfigurationError(name, "is not set")
    return value


def _read_file(path: str) -> dict[str, Any]:
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigurationError.within("NODE_CONFIG", f"{path} cannot be read: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigurationError.within("NODE_CONFIG", f"{path} holds no object")
    return raw


def _read_file_with_retries(path: str) -> dict[str, Any]:
    """Read the file; one that is half written, or cannot be opened for a moment, is read again."""
    for retries in itertools.count():
        try:
            return _read_file(path)
        except ConfigurationError as error:
            pauses = _pauses_after(error)
            if retries >= len(pauses):
                raise
            time.sleep(pauses[retries])
    raise AssertionError("unreachable")


def _pauses_after(error: ConfigurationError) -> tuple[float, ...]:
    """The pauses after which what made the file unreadable may be over."""
    cause = error.__cause__
    if isinstance(cause, OSError):
        return _TRANSIENT_RETRY_S if cause.errno in _TRANSIENT_ERRORS else ()
    return _HALF_WRITTEN_RETRY_S if isinstance(cause, ValueError) else ()


def _read_member(raw: Mapping[str, Any], name: str, kind: type[MemberType]) -> MemberType:
    value = raw.get(name)
    if not isinstance(value, kind):
        raise ConfigurationError(name, f"is missing or not of type {kind.__name__}: {value!r}")
    return value


def _read_settings(setting_texts: Mapping[str, str]) -> Settings:
    try:
        return read_settings(setting_texts)
    except SettingsError as error:
        raise ConfigurationError.within("settings", error) from None


def _read_limit(raw: Mapping[str, Any], name: str, lowest: int) -> int:
    value: object = raw.get(name)
    if not isinstance(value, int | float) or isinstance(value, bool) or not lowest <= value < float("inf"):
        raise ConfigurationError(f"limits.{name}", f"is not a number of at least {lowest}: {value!r}")
    return int(value)


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16) & _SEED_MASK
    except ValueError:
        raise ConfigurationError("seed", f"is not a hexadecimal number: {text!r}") from None


def _read_address(
    environment: Mapping[str, str], raw: Mapping[str, Any], variable: str, member: str
) -> Address:
    text = environment.get(variable) or _read_member(raw, member, str)
    try:
        return parse_address(text)
    except ValueError:
        raise ConfigurationError(variable, f"is not an address and a port: {text!r}") from None


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


def _read_names(raw_settings: Mapping[str, Any], key: str) -> tuple[str, ...]:
    value = raw_settings.get(key, [])
    if not isinstance(value, list):
        raise ConfigurationError.within("settings", f"{key} is not a list: {value!r}")
    return tuple(str(name) for name in value)
