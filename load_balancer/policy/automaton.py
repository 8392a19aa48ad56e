"""The two-time-scale learning automaton that spreads attempts over endpoints, in the published symbols.

p is the vector, r its length and p_min its floor; alpha is the step of the averages, theta of the vector.
"""

from collections.abc import Mapping, Sequence

from load_balancer.estimation.probability import floored
from load_balancer.events import EndpointId

# A node sees few answers over many endpoints, so both steps are far above the published ones.
ALPHA = 0.15  # an average spans about seven of its endpoint's answers
THETA_SHARE = 0.06  # theta = this / r; with the floor the walk of equals stays under a sixth of a share
# N nodes share the requests, so each learns at an N-th of the rate, while the walks of their vectors cancel
# out in what an endpoint gets from all of them.  theta = this * N / r keeps that sum as steady as three nodes
# at the share above keep it; over K listed machine types in place of r endpoints the same holds.
THETA_NODES = 0.02
ALPHA_NODES = ALPHA / 3  # per node, for the same reason
ALPHA_MAX = 0.5  # an average of a sparse view still spans two answers
THETA_MAX = 0.1  # of alpha: the averages must stay well ahead of the shares of endpoints
THETA_TYPE_MAX = 1 / 3  # of alpha: the shares of machine types rest on the averages of many endpoints
FLOOR_SHARE = 0.4  # p_min = this / r; also pulls shares that latency cannot tell apart back to uniform
NEWCOMER_SHARE = 1.0  # a newcomer's part of the mean share; while it warms up slow start bounds it
CHARGE_CAP = 3.0  # a failure enters an average at no more than this many means, so none lifts the threshold


class Automaton:
    """A floored probability vector over endpoints and a latency average for each."""

    def __init__(self, node_count: int = 1) -> None:
        self.endpoints: list[EndpointId] = []  # in the order of the vector
        self.p: list[float] = []
        self.average: list[float | None] = []  # None: no answer yet, counts as the mean of the others
        self.alpha = min(max(ALPHA, ALPHA_NODES * node_count), ALPHA_MAX)
        self.theta = 0.0  # the steps are set with the endpoints
        self.theta_type = 0.0  # between machine types; 0 where all are of one type
        self._node_count = node_count
        self._types: list[int] = []
        self._index: dict[EndpointId, int] = {}

    def mean(self) -> float | None:
        """The payoff threshold: the mean of all averages, None before any answer."""
        known = [a for a in self.average if a is not None]
        return sum(known) / len(known) if known else None

    def draw(self, eligible: Sequence[int], u: float) -> int:
        """The index drawn by u in [0, 1) from the vector conditioned on the eligible."""
        p = self.p
        left = u * sum(p[i] for i in eligible)
        for i in eligible:
            left -= p[i]
            if left < 0.0:
                return i
        return eligible[-1]

    def learn(self, endpoint_id: EndpointId, latency: float) -> bool:
        """An answer: move its endpoint's average, and the vector if it was a payoff; says whether it was."""
        i = self._index.get(endpoint_id)
        if i is None:
            return False
        threshold = self._move_average(i, latency)
        if latency >= threshold:
            return False
        r = len(self.p)
        theta, p_min = self.theta, FLOOR_SHARE / r
        p_max = 1.0 - (r - 1) * p_min
        share = self.p[i]
        self.p = [x + theta * (p_min - x) for x in self.p]
        self.p[i] = share + theta * (p_max - share)
        if self.theta_type:
            self._reinforce_type(self._types[i], p_min)
        return True

    def charge(self, endpoint_id: EndpointId, latency: float) -> None:
        """A failure: no payoff.  A fast error must not look quick, nor a timeout lift the threshold."""
        i = self._index.get(endpoint_id)
        mean = self.mean()
        if i is not None and mean is not None:
            self._move_average(i, min(max(latency, mean), CHARGE_CAP * mean))

    def resize(
        self, weights: Mapping[EndpointId, float], types: Mapping[EndpointId, int] | None = None
    ) -> None:
        """Take in a new set of endpoints: the others keep their ratios, a newcomer gets a modest share."""
        stay = [s for s in self.endpoints if s in weights]
        ratios: list[float] = [self.p[self._index[s]] for s in stay]
        averages: list[float | None] = [self.average[self._index[s]] for s in stay]
        new = [s for s in weights if s not in self._index]
        unit = NEWCOMER_SHARE * sum(ratios) / sum(weights[s] for s in stay) if stay else 1.0
        self.endpoints = stay + new
        self.average = averages + [None] * len(new)
        self._index = {s: i for i, s in enumerate(self.endpoints)}
        count = len(self.endpoints)
        self.p = floored(ratios + [unit * weights[s] for s in new], FLOOR_SHARE / count if count else 0.0)
        self._types = [types[s] if types else 0 for s in self.endpoints]
        if self.endpoints:
            of_nodes = THETA_NODES * self._node_count
            self.theta = min(max(THETA_SHARE, of_nodes) / len(self.p), THETA_MAX * self.alpha)
            type_count = len(set(self._types))
            step = min(of_nodes / type_count, THETA_TYPE_MAX * self.alpha)
            self.theta_type = step if type_count > 1 else 0.0

    def _reinforce_type(self, machine_type: int, p_min: float) -> None:
        """A payoff speaks for the endpoints of the same machine type, too: their shares grow in proportion.

        Guards against a fleet in which a node's requests to an endpoint are too few to tell slow machines
        from fast ones before the slow are overloaded, seen within four seconds at full size.
        """
        theta, types = self.theta_type, self._types
        pairs = list(zip(self.p, types, strict=True))
        same = sum(x for x, k in pairs if k == machine_type)
        lost = theta * (1.0 - same - p_min * (len(types) - types.count(machine_type)))
        grow = 1.0 + lost / same
        self.p = [x * grow if k == machine_type else x + theta * (p_min - x) for x, k in pairs]

    def _move_average(self, i: int, latency: float) -> float:
        """Move the chosen endpoint's average only; returns the threshold for this answer."""
        mean = self.mean()
        if mean is None:  # the first answer of all is every endpoint's starting value
            self.average = [latency] * len(self.average)
            return latency
        old = self.average[i]
        start = mean if old is None else old
        self.average[i] = start + self.alpha * (latency - start)
        return self.mean() or latency
