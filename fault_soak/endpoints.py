"""The rows and lists of endpoints that the stub discovery sends to nodes."""

from __future__ import annotations

from dataclasses import dataclass

from fault_soak.history import Lifecycle
from fault_soak.settings import DeduplicationScope


@dataclass(frozen=True, slots=True)
class ServerLocation:
    """Where a server runs; its zone and its cell share a memory of idempotency keys each."""

    server: str
    zone: str
    cell: int

    @property
    def machine_type(self) -> str:
        """The machine type, which alternates from cell to cell."""
        return "m1" if self.cell % 2 == 0 else "m2"

    def shares_keys_with(self, other: ServerLocation, scope: DeduplicationScope) -> bool:
        """Whether two servers share their memory of idempotency keys."""
        if scope is DeduplicationScope.ZONE:
            return self.zone == other.zone
        return scope is DeduplicationScope.ALL or self.cell == other.cell


@dataclass(frozen=True, slots=True)
class EndpointRow:
    """A server's row in the endpoint list; started_unix_ms is 0 for a server that started long ago."""

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
    """What a watch receives as of a generation: the complete list, or the rows that have changed."""

    generation: int
    complete: bool
    rows: tuple[EndpointRow, ...]
