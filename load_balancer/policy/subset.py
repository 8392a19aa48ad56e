"""Endpoint subsetting and zone affinity, which determine the endpoints that a node prefers."""

import hashlib
import math
from collections.abc import Sequence
from typing import NamedTuple

from load_balancer.events import EndpointId
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import EndpointRecord

_DIGEST_BYTES = 6
"""The length in bytes of the hashes that determine the positions of endpoints on a ring."""


class SubsetParameters(NamedTuple):
    """The conditions for subsets of endpoints, and their size.

    Attributes:
        min_local: the minimum number of usable endpoints in the subset or zone; with fewer, a node also uses
            other endpoints.
        size: the minimum number of endpoints in a subset, which has up to twice as many.  With this size,
            several endpoints remain to choose from even if half of the endpoints in a subset fail.
        min_nodes: the minimum number of nodes that share each endpoint.  The probability vector of each node
            varies at random, and these variations cancel out in the load that the endpoint gets from several
            nodes.
    """

    min_local: int = 2
    size: int = 6
    min_nodes: int = 3


PARAMETERS = SubsetParameters()


class EndpointSubset:
    """The subset of the endpoints that this node prefers.

    Attributes:
        in_subset: whether each endpoint belongs to the subset, in the order of the probability vector.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self.in_subset: list[bool] = []

    def prefer_local(self, usable: list[int]) -> list[int]:
        """Return the indices of the usable endpoints that this node prefers.

        These are the usable endpoints in the node's subset if there are at least min_local.  Otherwise, if
        attempts in other zones have a cost, they are the usable endpoints in the node's zone if there are at
        least min_local.  Otherwise they are all usable endpoints.
        """
        in_subset = self.in_subset
        subset = [i for i in usable if in_subset[i]]
        if len(subset) >= PARAMETERS.min_local:
            return subset
        settings, records = self._context.settings, self._context.endpoints.selectable
        if not settings.cross_zone_cost:
            return usable
        zone = [i for i in usable if records[i].endpoint.zone == settings.zone]
        return zone if len(zone) >= PARAMETERS.min_local else usable

    def update(self) -> None:
        """Choose the subset from a new endpoint list.

        If there are only few nodes or few endpoints, the subset contains all endpoints, or all endpoints of
        the node's zone if attempts in other zones have a cost.  Without subsets, each of many nodes would
        rarely send to the same endpoint again and therefore learn little, and the number of connections would
        grow with the product of nodes and endpoints.
        """
        settings, records = self._context.settings, self._context.endpoints.selectable
        local = [r for r in records if not settings.cross_zone_cost or r.endpoint.zone == settings.zone]
        # All subsets depend on this count.  It is a power of two, so that it rarely changes with the list.
        subset_count = 1 << max(0, (len(local) // PARAMETERS.size).bit_length() - 1)
        subset_ids = {r.endpoint.id for r in local}
        many_nodes = settings.node_count * PARAMETERS.size >= PARAMETERS.min_nodes * len(records)
        if subset_count > 1 and many_nodes:
            subset_ids = _select_subset(local, settings.node_index, subset_count)
        self.in_subset = [r.endpoint.id in subset_ids for r in records]


def _select_subset(records: Sequence[EndpointRecord], node_index: int, subset_count: int) -> set[EndpointId]:
    """Return the ids of the endpoints in a node's subset, with machine types in proportion.

    Endpoints are placed on a ring by hash.  Each group of subset_count nodes has its own ring, on which the
    nodes are spaced evenly, and each node takes the endpoints that follow it.  As a result, all endpoints get
    the same number of nodes, and a new list changes few subsets.
    """
    ring_number, position_in_group = divmod(node_index, subset_count)
    start = position_in_group / subset_count
    rings: dict[int, list[tuple[float, EndpointId]]] = {}
    for record in records:
        distance = (_ring_position(record.endpoint.id, ring_number) - start) % 1.0
        rings.setdefault(record.endpoint.machine_type, []).append((distance, record.endpoint.id))
    subset_ids: set[EndpointId] = set()
    for ring in rings.values():
        subset_ids.update(
            endpoint_id for _, endpoint_id in sorted(ring)[: math.ceil(len(ring) / subset_count)]
        )
    return subset_ids


def _ring_position(endpoint_id: EndpointId, ring_number: int) -> float:
    """Return the position of an endpoint on a ring, as a fraction of the ring's length."""
    content = endpoint_id + ring_number.to_bytes(4, "big")
    digest = hashlib.blake2b(content, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") / (1 << 8 * _DIGEST_BYTES)
