"""Reads typed values from a node's environment and configuration file; errors name the invalid key."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from load_balancer.proxy.address import Address, parse_address

MemberType = TypeVar("MemberType")

_SEED_MASK = 2**64 - 1


class ConfigurationError(Exception):
    """Raised if the configuration cannot be used.

    Attributes:
        key: the environment variable or the member of the file whose value is missing or invalid.
        problem: what is wrong with the value, including the value itself.
    """

    def __init__(self, key: str, problem: str, *, separator: str = " ") -> None:
        super().__init__(f"{key}{separator}{problem}")
        self.key = key
        self.problem = problem

    @classmethod
    def within(cls, key: str, problem: object) -> ConfigurationError:
        """Return an error about a part of the value of ``key``; ``problem`` names the part and its error."""
        return cls(key, str(problem), separator=": ")


def read_variable(environment: Mapping[str, str], name: str) -> str:
    """Return the value of an environment variable.

    Raises:
        ConfigurationError: the variable is not set, or it is empty.
    """
    value = environment.get(name, "")
    if not value:
        raise ConfigurationError(name, "is not set")
    return value


def read_member(raw: Mapping[str, Any], name: str, kind: type[MemberType]) -> MemberType:
    """Return the value of a member of the configuration file.

    Raises:
        ConfigurationError: the member is missing or is not of this type.
    """
    value = raw.get(name)
    if not isinstance(value, kind):
        raise ConfigurationError(name, f"is missing or not of type {kind.__name__}: {value!r}")
    return value


def read_address(
    environment: Mapping[str, str], raw: Mapping[str, Any], variable: str, member: str
) -> Address:
    """Return the address in the environment variable or, if that is not set, in the member of the file.

    Raises:
        ConfigurationError: neither contains an address, or the text is not an address.
    """
    text = environment.get(variable) or read_member(raw, member, str)
    try:
        return parse_address(text)
    except ValueError:
        raise ConfigurationError(variable, f"is not an address and a port: {text!r}") from None


def read_file_address(raw: Mapping[str, Any], member: str) -> Address:
    """Return the address in a member of the file, without regard to the environment.

    Raises:
        ConfigurationError: the member is missing or is not an address.
    """
    return read_address({}, raw, member, member)


def read_limit(raw_limits: Mapping[str, Any], name: str, lowest: int) -> int:
    """Return one of the platform's limits.

    Raises:
        ConfigurationError: the limit is missing, is not a finite number or is below the lowest allowed value.
    """
    value: object = raw_limits.get(name)
    if not isinstance(value, int | float) or isinstance(value, bool) or not lowest <= value < float("inf"):
        raise ConfigurationError(f"limits.{name}", f"is not a number of at least {lowest}: {value!r}")
    return int(value)


def read_seed(raw: Mapping[str, Any]) -> int:
    """Return the seed of the policy's random numbers.

    Raises:
        ConfigurationError: the seed is missing or is not a hexadecimal number.
    """
    text = read_member(raw, "seed", str)
    try:
        return int(text, 16) & _SEED_MASK
    except ValueError:
        raise ConfigurationError("seed", f"is not a hexadecimal number: {text!r}") from None


def read_names(raw_settings: Mapping[str, Any], key: str) -> tuple[str, ...]:
    """Return a list of names from the settings; it is empty if the settings have no such list.

    Raises:
        ConfigurationError: the value is not a list.
    """
    value = raw_settings.get(key, [])
    if not isinstance(value, list):
        raise ConfigurationError.within("settings", f"{key} is not a list: {value!r}")
    return tuple(str(name) for name in value)
