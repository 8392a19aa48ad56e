"""The two-time-scale learning automaton that distributes attempts over endpoints.

The names are the symbols of the published algorithm: p is the probability vector, r is its length and p_min
is its floor; alpha is the smoothing factor of the latency averages, and theta is the learning rate of the
vector.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from load_balancer.estimation.probability import apply_floor
from load_balancer.events import EndpointId


class AutomatonParameters(NamedTuple):
    """The parameters of an automaton.

    Alpha and theta are far larger than in the published algorithm, because a node sees few responses.  Both
    grow with the number N of nodes, because each node sees only one N-th of the responses.  Larger values
    increase the random walk of each node's vector, but the random walks of the N vectors cancel out in the
    sum of the attempts that an endpoint receives from all nodes.

    Attributes:
        alpha: the minimum smoothing factor; with it an average spans about seven responses of its endpoint.
        alpha_per_node: the factor by which the number of nodes is multiplied to get the smoothing factor,
            which is limited to the range from alpha to max_alpha.
        max_alpha: the maximum smoothing factor; with it an average still spans two responses.
        theta_times_r: the minimum of theta, multiplied by r.  At this value, and with the floor, the random
            walk of the shares of equally fast endpoints stays below a sixth of a share.
        theta_times_r_per_node: the factor by which the number of nodes is multiplied to get theta multiplied
            by r, unless the result is below theta_times_r.  It keeps the sum of an endpoint's shares over all
            nodes as steady as theta_times_r keeps the sum over three nodes.  To get theta_type instead of
            theta, the number of machine types replaces r.
        max_theta_per_alpha: the maximum ratio of theta to alpha, because the averages must adapt well before
            the shares of endpoints do.
        max_type_theta_per_alpha: the maximum ratio of theta_type to alpha.  It is larger, because the share
            of a machine type depends on the averages of many endpoints.
        floor_times_r: p_min multiplied by r; the floor also evens out the shares of equally fast endpoints.
        new_endpoint_shares: the initial share of a new endpoint, as a multiple of the mean share; slow start
            limits its load further.
        max_failure_means: the maximum latency with which a failure enters an average, as a multiple of the
            mean of all averages.
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
    """A probability vector over endpoints, with a floor, and a latency average for each endpoint.

    Attributes:
        endpoints: the ids of the endpoints, in the order of the vector.
        p: the probability vector.
        latency_averages: the latency average of each endpoint, in milliseconds.  It is None before the first
            response of an endpoint, which then counts as having the mean of the other averages.
        alpha: the smoothing factor of the averages.
        theta: the learning rate of the vector, which depends on the number of endpoints.
        theta_type: the learning rate of the shares of machine types; 0 if all endpoints are of one type.  The
            share of a machine type is the sum of the probabilities of its endpoints.  Each of these
            probabilities keeps the floor p_min.
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
        """Return the mean of all latency averages; None before the first response.

        The mean is the payoff threshold: a response with a lower latency is a payoff, which raises the share
        of its endpoint.
        """
        known = [a for a in self.latency_averages if a is not None]
        return sum(known) / len(known) if known else None

    def draw(self, eligible: Sequence[int], u: float) -> int:
        """Return one of the eligible indices, drawn with probabilities proportional to the vector.

        Args:
            eligible: the indices of the endpoints to draw from; it must not be empty.
            u: a random number in [0, 1), which determines the result.
        """
        p = self.p
        remaining = u * sum(p[i] for i in eligible)
        for i in eligible:
            remaining -= p[i]
            if remaining < 0.0:
                return i
        return eligible[-1]

    def learn(self, endpoint_id: EndpointId, latency: float) -> bool:
        """Update the average of an endpoint from a response, and the vector if the response was a payoff.

        Returns:
            Whether the response was a payoff.  It is a payoff if its latency was below the mean of all
            averages and its endpoint is still in the vector.
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
        """Update the average of an endpoint from a failure, which is never a payoff.

        A failure that was faster than the mean of all averages counts as that mean, and a slower failure
        counts as at most max_failure_means times the mean, so that neither moves the payoff threshold far.
        """
        i = self._index.get(endpoint_id)
        mean = self.mean()
        if i is not None and mean is not None:
            self._update_average(i, min(max(latency, mean), PARAMETERS.max_failure_means * mean))

    def resize(
        self, weights: Mapping[EndpointId, float], types: Mapping[EndpointId, int] | None = None
    ) -> None:
        """Change the set of endpoints; the endpoints that stay keep the ratios of their shares.

        Args:
            weights: the weight of each endpoint in the new set; the shares of added endpoints are
                proportional to it.
            types: the machine type of each endpoint; None if all are of one type.
        """
        staying = [endpoint_id for endpoint_id in self.endpoints if endpoint_id in weights]
        added = [endpoint_id for endpoint_id in weights if endpoint_id not in self._index]
        ratios = [self.p[self._index[endpoint_id]] for endpoint_id in staying]
        averages = [self.latency_averages[self._index[endpoint_id]] for endpoint_id in staying]
        share_per_weight = 1.0
        if staying:
            total_weight = sum(weights[endpoint_id] for endpoint_id in staying)
            share_per_weight = PARAMETERS.new_endpoint_shares * sum(ratios) / total_weight
        self.endpoints = staying + added
        self.latency_averages = averages + [None] * len(added)
        self._index = {endpoint_id: i for i, endpoint_id in enumerate(self.endpoints)}
        self._types = [types[endpoint_id] if types else 0 for endpoint_id in self.endpoints]
        p_min = PARAMETERS.floor_times_r / len(self.endpoints) if self.endpoints else 0.0
        self.p = apply_floor(
            ratios + [share_per_weight * weights[endpoint_id] for endpoint_id in added], p_min
        )
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
        """Raise the shares of all endpoints of a machine type after a payoff, keeping their ratios.

        In a large fleet a node sends too few requests to one endpoint to recognize slow machines by their
        own latencies before these machines are overloaded.
        """
        theta, types = self.theta_type, self._types
        pairs = list(zip(self.p, types, strict=True))
        type_share = sum(x for x, t in pairs if t == machine_type)
        share_lost_by_others = theta * (1.0 - type_share - p_min * (len(types) - types.count(machine_type)))
        growth = 1.0 + share_lost_by_others / type_share
        self.p = [x * growth if t == machine_type else x + theta * (p_min - x) for x, t in pairs]

    def _update_average(self, i: int, latency: float) -> float:
        """Update the latency average of one endpoint, and return the new mean of all averages.

        The mean is the payoff threshold for this latency.
        """
        mean = self.mean()
        if mean is None:  # the node's first response sets the initial average of every endpoint
            self.latency_averages = [latency] * len(self.latency_averages)
            return latency
        old = self.latency_averages[i]
        start = mean if old is None else old
        self.latency_averages[i] = start + self.alpha * (latency - start)
        return self.mean() or latency
