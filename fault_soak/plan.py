"""The plan of a scenario: deployment, settings, load and a schedule of faults."""

from __future__ import annotations

from dataclasses import dataclass, replace

from fault_soak.endpoints import ServerLocation
from fault_soak.faults import Fault
from fault_soak.settings import Settings

SCENARIO_S = 12.0
"""The time in seconds for which clients send requests in a scenario; all faults end within this time."""


@dataclass(frozen=True, slots=True)
class Plan:
    """Everything that determines a scenario.

    Attributes:
        seed: the seed from which the plan was drawn.
        node_count: the number of nodes.
        server_count: the number of servers.
        settings: the settings that all nodes share; ``node_settings`` sets the index and the zone of a node.
        descriptors: the limit of open descriptors of each node.
        requests_per_s: the number of requests per second that clients send to each node.
        work_ms: the planned service time in milliseconds, which is the median of the random service times.
        server_slots: the number of requests that a server serves concurrently.
        client_leave_fraction: the fraction of requests whose client leaves before the response.
        cold_start: whether all servers start together with the nodes and therefore warm up.
        faults: the schedule of faults.
    """

    seed: int
    node_count: int
    server_count: int
    settings: Settings
    descriptors: int
    requests_per_s: float
    work_ms: float
    server_slots: int
    client_leave_fraction: float
    cold_start: bool
    faults: tuple[Fault, ...]

    def server_locations(self) -> tuple[ServerLocation, ...]:
        """Return the location of each server: the zones alternate, and each cell has two servers."""
        zones = self.settings.zones
        return tuple(ServerLocation(f"s{i}", zones[i % len(zones)], i // 2) for i in range(self.server_count))

    def node_settings(self, index: int) -> Settings:
        """Return the settings of the node with the given index."""
        return replace(self.settings, node_index=index, zone_index=index % len(self.settings.zones))

    def with_faults(self, indices: frozenset[int]) -> Plan:
        """Return a copy of the plan with only the faults at the given indices of the schedule."""
        return replace(self, faults=tuple(f for i, f in enumerate(self.faults) if i in indices))

    def with_nodes(self, count: int) -> Plan:
        """Return a copy of the plan with another number of nodes and the same total load."""
        return replace(
            self,
            node_count=count,
            settings=replace(self.settings, node_count=count),
            requests_per_s=self.requests_per_s * self.node_count / count,
        )
