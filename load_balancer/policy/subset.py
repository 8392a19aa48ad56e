"""Endpoint subsetting and zone affinity: which of the usable endpoints a node keeps to."""

import hashlib
import math
from collections.abc import Sequence

from load_balancer.events import EndpointId
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import EndpointRecord

LOCAL_MIN = 2  # fewer endpoints than this in the subset or zone are no fleet to keep to
SUBSET_SIZE = 6  # endpoints in a subset, up to twice as many: of so few half may fail and leave a choice
SUBSET_NODES_MIN = 3  # nodes that must share each endpoint at the least, for their walks to cancel out


class EndpointSubset:
    """The endpoints that this node prefers; those of the vector are marked in its order."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self.chosen: list[bool] = []

    def prefer_local(self, usable: list[int]) -> list[int]:
        """Of the usable, those in the subset while two are, else, where crossing has a cost, in the zone."""
        chosen = self.chosen
        subset = [i for i in usable if chosen[i]]
        if len(subset) >= LOCAL_MIN:
            return subset
        settings, records = self._context.settings, self._context.endpoints.drawable
        if not settings.cross_zone_cost:
            return usable
        zone = [i for i in usable if records[i].endpoint.zone == settings.zone]
        return zone if len(zone) >= LOCAL_MIN else usable

    def update(self) -> None:
        """Choose the subset from a new list; where few nodes share the endpoints it is all of them.

        Without one a node hardly meets an endpoint again, and connections grow with nodes times endpoints.
        """
        settings, records = self._context.settings, self._context.endpoints.drawable
        local = [r for r in records if not settings.cross_zone_cost or r.endpoint.zone == settings.zone]
        # A power of two: their number, which all subsets hang on, must not follow every change of the list.
        subset_count = 1 << max(0, (len(local) // SUBSET_SIZE).bit_length() - 1)
        chosen = {r.endpoint.id for r in local}
        if subset_count > 1 and settings.node_count * SUBSET_SIZE >= SUBSET_NODES_MIN * len(records):
            chosen = _deal(local, settings.node_index, subset_count)
        self.chosen = [r.endpoint.id in chosen for r in records]


def _deal(records: Sequence[EndpointRecord], node_index: int, subset_count: int) -> set[EndpointId]:
    """A node's subset of so many, with machine types in proportion.

    Nodes are dealt to evenly spaced places of a ring, on which the endpoints lie by hash; every round of the
    dealing has a ring of its own, so that all endpoints are met alike, and a new list moves few subsets.
    """
    deal_round, place = divmod(node_index, subset_count)
    start = place / subset_count
    rings: dict[int, list[tuple[float, EndpointId]]] = {}
    for record in records:
        name = record.endpoint.id
        digest = hashlib.blake2b(name + deal_round.to_bytes(4, "big"), digest_size=6).digest()
        # From this node's place onwards, in parts of the whole ring.
        ahead = (int.from_bytes(digest, "big") / 2**48 - start) % 1.0
        rings.setdefault(record.endpoint.machine_type, []).append((ahead, name))
    chosen: set[EndpointId] = set()
    for ring in rings.values():
        chosen.update(name for _, name in sorted(ring)[: math.ceil(len(ring) / subset_count)])
    return chosen
