"""The plan of a scenario: deployment, settings, load and a schedule of faults."""

from __future__ import annotations

from dataclasses import dataclass, replace

from fault_soak.endpoints import ServerLocation
from fault_soak.faults import Fault
from fault_soak.settings import Settings

SCENARIO_S = 12.0


@dataclass(frozen=True, slots=True)
class Plan:
    """Everything that determines a scenario.

    Attributes:
        seed: the seed that it was drawn from.
        node_count: the number of nodes.
        server_count: the number of servers.
        settings: the settings of every node, but for its position and zone.
        descriptors: the descriptor limit of a node.
        requests_per_s: the load of each node.
        work_ms: the planned service time, the median of those that are drawn.
        server_slots: requests that a server serves concurrently.
        cold_start: all servers start together with the nodes.
        client_leave_fraction: the fraction of requests whose client leaves early.
        faults: the schedule.
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
        """Where each server runs: zones alternate, and a cell is a pair of servers."""
        zones = self.settings.zones
        return tuple(ServerLocation(f"s{i}", zones[i % len(zones)], i // 2) for i in range(self.server_count))

    def node_settings(self, index: int) -> Settings:
        """The settings of one node."""
        return replace(self.settings, node_index=index, zone_index=index % len(self.settings.zones))

    def with_faults(self, indices: frozenset[int]) -> Plan:
        """The same scenario with some of its faults alone."""
        return replace(self, faults=tuple(f for i, f in enumerate(self.faults) if i in indices))

    def with_nodes(self, count: int) -> Plan:
        """The same scenario with another number of nodes, which share the same load."""
        return replace(
            self,
            node_count=count,
            settings=replace(self.settings, node_count=count),
            requests_per_s=self.requests_per_s * self.node_count / count,
        )
