"""Tests that endpoint lists from discovery are parsed, and that malformed lists are rejected."""

from __future__ import annotations

from typing import Any

import pytest

from load_balancer.proxy.discovery.endpoint_listing import ListingError, ListingReader, merge_listings
from tests.proxy.stub_discovery import listing, row


@pytest.mark.parametrize(
    "raw",
    [
        None,
        [],
        {"generation": 1, "reset": True},
        {"generation": 1, "reset": True, "instances": [{}]},
        {"generation": 1, "reset": True, "instances": [row("a", "127.0.0.1:1", "ODD")]},
        {"generation": 1, "reset": True, "instances": [row("a", "nowhere")]},
    ],
)
def test_malformed_list_is_rejected(raw: Any) -> None:
    with pytest.raises(ListingError):
        ListingReader((), ()).read(raw)


@pytest.mark.parametrize(
    "changes",
    [{"weight": float("inf")}, {"startedAtMs": float("nan")}, {"hostPort": "h:99999"}, {"hostPort": ":1"}],
)
def test_list_with_invalid_value_is_rejected(changes: dict[str, Any]) -> None:
    with pytest.raises(ListingError):
        ListingReader((), ()).read(listing(1, {**row("a", "127.0.0.1:1"), **changes}))
    with pytest.raises(ListingError):
        ListingReader((), ()).read({**listing(1), "generation": float("inf")})


def test_names_are_translated_into_indices_of_settings() -> None:
    listing_reader = ListingReader(("north", "south"), ("std", "slow"))
    rows = [{**row("a", "h:1"), "zone": "south", "machineType": kind} for kind in ("slow", "odd", "std")]
    endpoints = listing_reader.read(listing(1, *rows)).endpoints
    assert [endpoint.zone for endpoint in endpoints] == [1, 1, 1]
    assert len({endpoint.machine_type for endpoint in endpoints}) == 3
    assert (endpoints[0].machine_type, endpoints[2].machine_type) == (1, 0)


def test_merged_changes_keep_last_entry_of_each_endpoint_in_order_of_listing() -> None:
    listing_reader = ListingReader((), ())
    first = listing(2, row("a", "h:1"), row("b", "h:2"), reset=False)
    second = listing(3, row("a", "h:3", "DRAINING"), row("c", "h:4"), reset=False)
    merged = merge_listings([listing_reader.read(first), listing_reader.read(second)])
    equivalent = listing(3, row("b", "h:2"), row("a", "h:3", "DRAINING"), row("c", "h:4"), reset=False)
    assert merged == listing_reader.read(equivalent)


def test_complete_list_replaces_changes_before_it_when_merged() -> None:
    listing_reader = ListingReader((), ())
    raw = (
        listing(2, row("a", "h:1"), reset=False),
        listing(3, row("b", "h:2")),
        listing(4, row("c", "h:3"), reset=False),
    )
    merged = merge_listings([listing_reader.read(each) for each in raw])
    assert merged.complete
    assert [endpoint.id for endpoint in merged.endpoints] == [b"b", b"c"]
