"""Tests that JSON objects have the documented names, and that reports are read as they were written."""

from __future__ import annotations

import json

from fault_soak.drawing import draw_plan
from fault_soak.endpoints import EndpointList, EndpointRow, ServerLocation
from fault_soak.history import Lifecycle
from fault_soak.report import Report
from fault_soak.serialization import (
    endpoint_list_to_json,
    report_from_json,
    report_to_json,
    settings_to_json,
)


def test_report_is_unchanged_by_writing_and_reading() -> None:
    report = Report(7, 12, "200:12", 3, True, ("node-kill n0 fired=1",), ("a+b",), ("lost: r: late",))
    assert report_from_json(json.loads(json.dumps(report_to_json(report)))) == report


def test_endpoint_list_has_documented_names() -> None:
    row = EndpointRow(ServerLocation("s3", "b", 1), "127.0.0.1:9", Lifecycle.DRAINING, 5)
    assert endpoint_list_to_json(EndpointList(4, complete=True, rows=(row,))) == {
        "generation": 4,
        "reset": True,
        "instances": [
            {
                "instanceId": "s3",
                "hostPort": "127.0.0.1:9",
                "zone": "b",
                "machineType": "m2",
                "cell": 1,
                "lifecycle": "DRAINING",
                "weight": 1.0,
                "startedAtMs": 5,
            }
        ],
    }


def test_only_keyed_class_has_group_and_window() -> None:
    profiles = settings_to_json(draw_plan(1).settings)["profiles"]
    assert isinstance(profiles, list)
    assert [profile["name"] for profile in profiles if "group" in profile and "windowMs" in profile] == [
        "move"
    ]
