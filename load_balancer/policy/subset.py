"""Endpoint subsetting and zone affinity: the endpoints that a node prefers among the usable ones."""

import hashlib
import math
from collections.abc import Sequence
from typing import NamedTuple

from load_balancer.events import EndpointId
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import EndpointRecord

_DIGEST_BYTES = 6


class SubsetParameters(NamedTuple):
    """When and how the endpoints are divided into subsets.

    Attributes:
        min_local: with fewer usable endpoints in the subset or zone a node does not keep to it.
        size: endpoints in a subset, up to twice as many; half of so few may fail and still leave a choice.
        min_nodes: nodes that must share each endpoint at the least, so that their random walks cancel out.
    """

    min_local: int = 2
    size: int = 6
    min_nodes: int = 3


PARAMETERS = SubsetParameters()


class EndpointSubset:
    """The endpoints that this node prefers.

    Attributes:
        in_subset: whether each endpoint belongs to the subset, in the order of the probability vector.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self.in_subset: list[bool] = []

    def prefer_local(self, usable: list[int]) -> list[int]:
        """Of the usable endpoints those in the subset; else, where crossing has a cost, those in the zone.

        Either set must hold at least two; otherwise these are all usable endpoints.
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
        """Choose the subset from a new list; where few nodes share the endpoints it is all of them.

        Without subsets a node of many rarely sends to the same endpoint again, so that it learns little, and
        the number of connections grows with nodes times endpoints.
        """
        settings, records = self._context.settings, self._context.endpoints.selectable
        local = [r for r in records if not settings.cross_zone_cost or r.endpoint.zone == settings.zone]
        # A power of two, as all subsets depend on it: it must not follow every change of the list.
        subset_count = 1 << max(0, (len(local) // PARAMETERS.size).bit_length() - 1)
        subset_ids = {r.endpoint.id for r in local}
        many_nodes = settings.node_count * PARAMETERS.size >= PARAMETERS.min_nodes * len(records)
        if subset_count > 1 and many_nodes:
            subset_ids = _select_subset(local, settings.node_index, subset_count)
        self.in_subset = [r.endpoint.id in subset_ids for r in records]


def _select_subset(records: Sequence[EndpointRecord], node_index: int, subset_count: int) -> set[EndpointId]:
    """The ids of a node's subset, with machine types in proportion.

    Endpoints lie on a ring by hash.  Each round of subset_count nodes has a ring of its own, on which the
    nodes are spaced evenly and take the endpoints that follow.  So all endpoints get the same number of
    nodes, and a new list changes few subsets.
    """
    ring_number, ring_index = divmod(node_index, subset_count)
    start = ring_index / subset_count
    rings: dict[int, list[tuple[float, EndpointId]]] = {}
    for record in records:
        distance = (_ring_position(record.endpoint.id, ring_number) - start) % 1.0
        rings.setdefault(record.endpoint.machine_type, []).append((distance, record.endpoint.id))
    subset_ids: set[EndpointId] = set()
    for ring in rings.values():
        subset_ids.update(name for _, name in sorted(ring)[: math.ceil(len(ring) / subset_count)])
    return subset_ids


def _ring_position(endpoint_id: EndpointId, ring_number: int) -> float:
    """Where an endpoint lies on a ring, as a part of its length."""
    content = endpoint_id + ring_number.to_bytes(4, "big")
    digest = hashlib.blake2b(content, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") / (1 << 8 * _DIGEST_BYTES)
