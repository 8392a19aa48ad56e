"""The rows and lists of endpoints that the stub discovery sends to nodes."""

from __future__ import annotations

from dataclasses import dataclass

from fault_soak.history import Lifecycle
from fault_soak.settings import DeduplicationScope


@dataclass(frozen=True, slots=True)
class ServerLocation:
    """The zone and the cell in which a server runs.

    The deduplication scope of a request class determines which servers share their memory of idempotency
    keys: the servers of a zone, the servers of a cell, or all servers.
    """

    server: str
    zone: str
    cell: int

    @property
    def machine_type(self) -> str:
        """The machine type of the server, which alternates from cell to cell."""
        return "m1" if self.cell % 2 == 0 else "m2"

    def shares_keys_with(self, other: ServerLocation, scope: DeduplicationScope) -> bool:
        """Check whether two servers share their memory of idempotency keys in a deduplication scope."""
        if scope is DeduplicationScope.ZONE:
            return self.zone == other.zone
        return scope is DeduplicationScope.ALL or self.cell == other.cell


@dataclass(frozen=True, slots=True)
class EndpointRow:
    """The row of a server in the endpoint list.

    ``started_unix_ms`` is the start of the server in Unix milliseconds, or 0 if the server started long ago.
    """

    location: ServerLocation
    address: str
    lifecycle: Lifecycle
    started_unix_ms: int

    @property
    def server(self) -> str:
        """The server's name."""
        return self.location.server


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The endpoint list of a generation, or the changes up to a generation, sent as one message of a watch.

    ``rows`` contains all endpoints if ``complete`` is true, and otherwise only the rows that have changed.
    """

    generation: int
    complete: bool
    rows: tuple[EndpointRow, ...]
