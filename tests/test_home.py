"""Homes: at full size a node keeps to a few servers."""

from __future__ import annotations

from collections import Counter

from load_balancer import Balancer
from load_balancer.actions import SendAttempt
from load_balancer.events import (
    AttemptEnded,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    EndpointState,
    Outcome,
    RequestArrived,
)
from load_balancer.settings import RequestClass, Settings

KIND = RequestClass("r", 1000, 3000)


def node(
    ordinal: int, nodes: int, servers: int, gone: frozenset[int] = frozenset(), **more: float
) -> Balancer:
    settings = Settings(classes=(KIND,), node_count=nodes, node_index=ordinal, **more)  # type: ignore[arg-type]
    balancer = Balancer(settings, seed=ordinal)
    rows = [
        Endpoint(i.to_bytes(2, "big"), machine_type=i % 2, zone=i % 3)
        for i in range(servers)
        if i not in gone
    ]
    balancer.handle(EndpointListUpdate(EndpointListKind.FULL, tuple(rows)), 1.0)
    return balancer


def home(balancer: Balancer, draws: int = 150, first: int = 0) -> set[bytes]:
    """The servers that get requests while nothing else is out: the whole home, as chance misses none."""
    met = set()
    for request in range(first, first + draws):
        actions = balancer.handle(RequestArrived(request, 0, 3000.0), 10.0)
        (server,) = (a.endpoint_id for a in actions if isinstance(a, SendAttempt))
        met.add(server)
        # A client error teaches the node nothing, so that all draws are alike.
        balancer.handle(AttemptEnded(request, 0, server, Outcome.CLIENT_ERROR, 0.0, True), 10.0)
    return met


def test_all_servers_are_met_alike_and_both_kinds_in_every_home() -> None:
    """Seen at full size: with sixty arms a node met a server twice a minute and learned nothing in time."""
    met: Counter[bytes] = Counter()
    for ordinal in range(400):
        mine = home(node(ordinal, 400, 60))
        assert 6 <= len(mine) <= 12
        assert {s[-1] % 2 for s in mine} == {0, 1}
        met.update(mine)
    mean = sum(met.values()) / 60
    assert len(met) == 60 and all(0.6 * mean < n < 1.5 * mean for n in met.values())


def test_few_nodes_keep_to_all_servers() -> None:
    assert len(home(node(0, 3, 10))) == 10
    assert len(home(node(1, 3, 60), draws=1000)) == 60
    assert len(home(node(1, 400, 10))) == 10


def test_a_home_lies_in_the_own_zone_where_crossing_has_a_price() -> None:
    balancer = node(7, 400, 60, cross_zone_cost=0.02, zone=1)
    assert {int.from_bytes(server, "big") % 3 for server in home(balancer)} == {1}


def test_a_change_of_the_list_moves_few_servers_of_a_home() -> None:
    moved = 0
    for ordinal in range(60):
        moved += len(home(node(ordinal, 400, 60)) - home(node(ordinal, 400, 60, frozenset({5}))))
    assert moved < 60  # less than one of six or more each


def test_a_home_that_is_gone_leaves_the_others() -> None:
    balancer = node(7, 400, 60)
    gone = home(balancer)
    for number, server in enumerate(sorted(gone)):
        row = Endpoint(server, EndpointState.DRAINING)
        balancer.handle(EndpointListUpdate(EndpointListKind.DELTA, (row,)), 20.0 + number)
    left = home(balancer, first=1000)
    assert 6 <= len(left) <= 12 and not left & gone


def test_requests_leave_a_home_that_takes_none() -> None:
    balancer = node(7, 400, 60)
    mine = home(balancer)
    rejected: set[bytes] = set()
    served: set[bytes] = set()
    for request in range(1000, 1100):  # at one moment: those that rejected a call rest meanwhile
        sent = [
            action.endpoint_id
            for action in balancer.handle(RequestArrived(request, 0, 3000.0), 10.0)
            if isinstance(action, SendAttempt)
        ]
        for number, server in enumerate(sent):  # what is sent again comes up here, too
            outcome = Outcome.REJECTED if server in mine else Outcome.CLIENT_ERROR
            (rejected if server in mine else served).add(server)
            ended = AttemptEnded(request, number, server, outcome, 0.0, False)
            actions = balancer.handle(ended, 10.0)
            sent += [action.endpoint_id for action in actions if isinstance(action, SendAttempt)]
    assert len(mine - rejected) < 2 <= len(served)
