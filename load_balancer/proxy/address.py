"""Network addresses in the form of the configuration and the endpoint list, host:port."""

from __future__ import annotations

from typing import NamedTuple

_PORT_COUNT = 65536


class Address(NamedTuple):
    """Where a process listens."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Read 'host:port'.

    Raises:
        ValueError: the text is not an address.
    """
    host, _, port_text = text.rpartition(":")
    port = int(port_text)
    if not host or not 0 <= port < _PORT_COUNT:
        raise ValueError(text)
    return Address(host, port)
