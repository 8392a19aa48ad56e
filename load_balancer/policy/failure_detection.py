"""What the outlier detector and the circuit breakers share: failure rates and the pauses that follow."""

from typing import NamedTuple

from load_balancer.state.context import NodeContext


class FailureParameters(NamedTuple):
    """When failures are held against an endpoint; always in comparison with its peers.

    Attributes:
        smoothing_factor: of a failure rate; two failures in a row exceed min_rate, one never does.
        malformed_smoothing_factor: the same for malformed responses, which any server sends now and then:
            four in a row exceed min_rate, three do not.
        min_rate: the failure rate from which an endpoint may be excluded.
        min_peer_multiple: the multiple of its peers' rate that it must reach as well, so that a shared cause
            excludes no endpoint.
        recovered_rate: below this failure rate the next pause is the shortest again.
        max_ejected_fraction: the part of the fleet that may be ejected at once.
    """

    smoothing_factor: float = 0.3
    malformed_smoothing_factor: float = 0.14
    min_rate: float = 0.45
    min_peer_multiple: float = 2.0
    recovered_rate: float = 0.05
    max_ejected_fraction: float = 0.34


class PauseParameters(NamedTuple):
    """How long an endpoint or a class stays excluded.

    The unit is the warm-up time, as the usual cure is a restart.  Where servers warm up in a second that
    would be too short: most causes last for many responses, so the unit has a least value in latency
    objectives.

    Attributes:
        default_unit_ms: the unit where the settings name no warm-up time.
        min_unit_objectives: the least unit, in latency objectives.
        first_units: the first pause; each further one is twice as long.
        max_units: the longest pause.
        max_doublings: more would exceed max_units by far.
        jitter_min: the least factor by which a pause is spread.
        jitter_range: the width of the range of that factor.
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
    """Whether one more endpoint may be excluded, out of this number."""
    return excluded + 1 <= max(1.0, max_fraction * count)


def draw_pause_ms(context: NodeContext, repetitions: int) -> float:
    """The length of an exclusion after this number of earlier ones, with jitter."""
    units = min(PAUSES.max_units, PAUSES.first_units * 2.0 ** min(repetitions, PAUSES.max_doublings))
    warm_up_ms = context.settings.warm_up_ms or PAUSES.default_unit_ms
    unit_ms = max(warm_up_ms, PAUSES.min_unit_objectives * context.objective_ms)
    return units * unit_ms * (PAUSES.jitter_min + PAUSES.jitter_range * context.rng.random())
