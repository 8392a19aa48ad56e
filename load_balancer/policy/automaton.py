"""The two-time-scale learning automaton that spreads attempts over endpoints, in the published symbols.

p is the probability vector, r its length and p_min its floor; alpha is the smoothing factor of the latency
averages, theta the learning rate of the vector.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from load_balancer.estimation.probability import apply_floor
from load_balancer.events import EndpointId


class AutomatonParameters(NamedTuple):
    """The rates of an automaton.  A node sees few responses, so both are far above the published ones.

    Of N nodes each sees an N-th of the responses, while the random walks of their vectors cancel out in what
    an endpoint gets from all of them: so both rates grow with N.

    Attributes:
        alpha: the least smoothing factor; an average then spans about seven responses of its endpoint.
        alpha_per_node: the smoothing factor for each node.
        max_alpha: the largest one; an average still spans two responses.
        theta_times_r: theta is at least this over r; with the floor the random walk of equal endpoints then
            stays under a sixth of a share.
        theta_times_r_per_node: theta for each node, times r; keeps the sum over all nodes as steady as
            theta_times_r keeps that of three.  For machine types their number takes the place of r.
        max_theta_per_alpha: the largest ratio of theta to alpha, as the averages must adapt well before the
            shares of endpoints.
        max_type_theta_per_alpha: the same for machine types, whose shares depend on the averages of many
            endpoints.
        floor_times_r: p_min is this over r; the floor also evens out the shares of equal endpoints.
        new_endpoint_shares: the part of a mean share that a new endpoint gets; slow start bounds it further.
        max_failure_means: the most that a failure enters an average as, in means.
    """

    alpha: float = 0.15
    alpha_per_node: float = 0.15 / 3
    max_alpha: float = 0.5
    theta_times_r: float = 0.06
    theta_times_r_per_node: float = 0.02
    max_theta_per_alpha: float = 0.1
    max_type_theta_per_alpha: float = 1 / 3
    floor_times_r: float = 0.4
    new_endpoint_shares: float = 1.0
    max_failure_means: float = 3.0


PARAMETERS = AutomatonParameters()


class Automaton:
    """A floored probability vector over endpoints and a latency average for each.

    Attributes:
        endpoints: the ids of the endpoints, in the order of the vector.
        p: the vector.
        average: the latency averages; None before the first response, counts as the mean of the others.
        alpha: the smoothing factor of the averages.
        theta: the learning rate of the vector, set with the endpoints.
        theta_type: the same between machine types; 0 where all endpoints are of one type.
    """

    def __init__(self, node_count: int = 1) -> None:
        self.endpoints: list[EndpointId] = []
        self.p: list[float] = []
        self.latency_averages: list[float | None] = []
        self.alpha = min(max(PARAMETERS.alpha, PARAMETERS.alpha_per_node * node_count), PARAMETERS.max_alpha)
        self.theta = 0.0
        self.theta_type = 0.0
        self._node_count = node_count
        self._types: list[int] = []
        self._index: dict[EndpointId, int] = {}

    def mean(self) -> float | None:
        """The payoff threshold: the mean of all averages, None before any response."""
        known = [a for a in self.latency_averages if a is not None]
        return sum(known) / len(known) if known else None

    def draw(self, eligible: Sequence[int], u: float) -> int:
        """The index drawn by u in [0, 1) from the vector conditioned on the eligible."""
        p = self.p
        remaining = u * sum(p[i] for i in eligible)
        for i in eligible:
            remaining -= p[i]
            if remaining < 0.0:
                return i
        return eligible[-1]

    def learn(self, endpoint_id: EndpointId, latency: float) -> bool:
        """Learn from a response: update its endpoint's average, and the vector if it was a payoff.

        Returns:
            Whether it was a payoff: quicker than the mean of all averages.
        """
        i = self._index.get(endpoint_id)
        if i is None:
            return False
        threshold = self._update_average(i, latency)
        if latency >= threshold:
            return False
        r = len(self.p)
        theta, p_min = self.theta, PARAMETERS.floor_times_r / r
        p_max = 1.0 - (r - 1) * p_min
        share = self.p[i]
        self.p = [x + theta * (p_min - x) for x in self.p]
        self.p[i] = share + theta * (p_max - share)
        if self.theta_type:
            self._reinforce_type(self._types[i], p_min)
        return True

    def learn_failure(self, endpoint_id: EndpointId, latency: float) -> None:
        """Learn from a failure, which is no payoff.

        A fast error counts as the mean, and a timeout is bounded, so that neither moves the threshold far.
        """
        i = self._index.get(endpoint_id)
        mean = self.mean()
        if i is not None and mean is not None:
            self._update_average(i, min(max(latency, mean), PARAMETERS.max_failure_means * mean))

    def resize(
        self, weights: Mapping[EndpointId, float], types: Mapping[EndpointId, int] | None = None
    ) -> None:
        """Change the set of endpoints: those that stay keep the ratios of their shares.

        Args:
            weights: the weight of each endpoint, by which new ones share.
            types: the machine type of each endpoint; None where all are of one type.
        """
        staying = [name for name in self.endpoints if name in weights]
        added = [name for name in weights if name not in self._index]
        ratios = [self.p[self._index[name]] for name in staying]
        averages = [self.latency_averages[self._index[name]] for name in staying]
        share_per_weight = 1.0
        if staying:
            total_weight = sum(weights[name] for name in staying)
            share_per_weight = PARAMETERS.new_endpoint_shares * sum(ratios) / total_weight
        self.endpoints = staying + added
        self.latency_averages = averages + [None] * len(added)
        self._index = {name: i for i, name in enumerate(self.endpoints)}
        self._types = [types[name] if types else 0 for name in self.endpoints]
        p_min = PARAMETERS.floor_times_r / len(self.endpoints) if self.endpoints else 0.0
        self.p = apply_floor(ratios + [share_per_weight * weights[name] for name in added], p_min)
        if self.endpoints:
            self._set_learning_rates()

    def _set_learning_rates(self) -> None:
        theta_times_r_for_nodes = PARAMETERS.theta_times_r_per_node * self._node_count
        theta = max(PARAMETERS.theta_times_r, theta_times_r_for_nodes) / len(self.p)
        self.theta = min(theta, PARAMETERS.max_theta_per_alpha * self.alpha)
        type_count = len(set(self._types))
        theta_type = min(
            theta_times_r_for_nodes / type_count, PARAMETERS.max_type_theta_per_alpha * self.alpha
        )
        self.theta_type = theta_type if type_count > 1 else 0.0

    def _reinforce_type(self, machine_type: int, p_min: float) -> None:
        """After a payoff, raise the shares of all endpoints of the machine type in proportion.

        In a large fleet a node's requests to one endpoint are too few to tell slow machines from fast ones
        before the slow ones are overloaded.
        """
        theta, types = self.theta_type, self._types
        pairs = list(zip(self.p, types, strict=True))
        type_share = sum(x for x, t in pairs if t == machine_type)
        share_lost_by_others = theta * (1.0 - type_share - p_min * (len(types) - types.count(machine_type)))
        growth = 1.0 + share_lost_by_others / type_share
        self.p = [x * growth if t == machine_type else x + theta * (p_min - x) for x, t in pairs]

    def _update_average(self, i: int, latency: float) -> float:
        """Update the average of one endpoint; returns the payoff threshold for this latency."""
        mean = self.mean()
        if mean is None:  # the first response of all is every endpoint's starting value
            self.latency_averages = [latency] * len(self.latency_averages)
            return latency
        old = self.latency_averages[i]
        start = mean if old is None else old
        self.latency_averages[i] = start + self.alpha * (latency - start)
        return self.mean() or latency
