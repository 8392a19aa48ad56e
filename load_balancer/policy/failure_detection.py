"""Thresholds of failure rates and durations of exclusions, for outlier detection and circuit breakers."""

from typing import NamedTuple

from load_balancer.state.context import NodeContext


class FailureParameters(NamedTuple):
    """The conditions under which failures exclude an endpoint, always in comparison with its peers.

    Attributes:
        smoothing_factor: the smoothing factor of a failure rate.  Two failures in a row raise the rate above
            min_rate, a single failure never does.
        malformed_smoothing_factor: the smoothing factor for malformed responses, which any server sends now
            and then.  Four in a row raise the rate above min_rate, three do not.
        min_rate: the failure rate from which an endpoint may be excluded.
        min_peer_multiple: the multiple of the peers' failure rate that an endpoint's rate must also reach, so
            that a cause common to all endpoints excludes none.
        recovered_rate: the failure rate below which an endpoint has recovered, so that its next pause is the
            shortest again.
        max_ejected_fraction: the fraction of the endpoints that may be ejected at once.
    """

    smoothing_factor: float = 0.3
    malformed_smoothing_factor: float = 0.14
    min_rate: float = 0.45
    min_peer_multiple: float = 2.0
    recovered_rate: float = 0.05
    max_ejected_fraction: float = 0.34


class PauseParameters(NamedTuple):
    """The duration of a pause, during which an endpoint is excluded from one class or from all.

    The unit is the warm-up time, because a restart usually resolves the failure.  If servers warm up within a
    second, this unit would be too short, because the causes of most failures last for the time of many
    responses.  Therefore the unit has a minimum in latency objectives.

    Attributes:
        default_unit_ms: the unit if the settings contain no warm-up time, in milliseconds.
        min_unit_objectives: the minimum of the unit, in latency objectives.
        first_units: the first pause, in units; each further pause is twice as long.
        max_units: the longest pause, in units.
        max_doublings: the maximum number of doublings; more would exceed max_units by far.
        jitter_min: the smallest random factor applied to a pause.
        jitter_range: the difference between the largest and the smallest random factor.
    """

    default_unit_ms: float = 10_000.0
    min_unit_objectives: float = 4.0
    first_units: float = 0.2
    max_units: float = 1.0
    max_doublings: int = 10
    jitter_min: float = 0.75
    jitter_range: float = 0.5


FAILURES = FailureParameters()
PAUSES = PauseParameters()


def can_exclude(excluded: int, count: int, max_fraction: float) -> bool:
    """Return whether one more endpoint may be excluded.

    Args:
        excluded: the number of endpoints that are already excluded.
        count: the number of all endpoints.
        max_fraction: the fraction of all endpoints that may be excluded; one endpoint always may be.
    """
    return excluded + 1 <= max(1.0, max_fraction * count)


def draw_pause_ms(context: NodeContext, doublings: int) -> float:
    """Return the random duration of a pause in milliseconds.

    Args:
        context: the context of the node.
        doublings: the number of times that the first pause is doubled, usually the number of earlier pauses.
    """
    units = min(PAUSES.max_units, PAUSES.first_units * 2.0 ** min(doublings, PAUSES.max_doublings))
    warm_up_ms = context.settings.warm_up_ms or PAUSES.default_unit_ms
    unit_ms = max(warm_up_ms, PAUSES.min_unit_objectives * context.objective_ms)
    return units * unit_ms * (PAUSES.jitter_min + PAUSES.jitter_range * context.rng.random())
