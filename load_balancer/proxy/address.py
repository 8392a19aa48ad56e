"""Parses network addresses of the form host:port, as used in the configuration and the endpoint list."""

from __future__ import annotations

from typing import NamedTuple

_PORT_COUNT = 65536


class Address(NamedTuple):
    """The host and the port at which a process listens."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse an address of the form host:port.

    Raises:
        ValueError: the text does not have this form, or the port is out of range.
    """
    host, _, port_text = text.rpartition(":")
    port = int(port_text)
    if not host or not 0 <= port < _PORT_COUNT:
        raise ValueError(text)
    return Address(host, port)
