"""Tolerances that several checks share."""

from __future__ import annotations

SOCKET_SLACK_S = 0.05
"""What sockets add to the times that a rule names."""

PAUSE_ALLOWANCE_S = 0.15
"""How long a fault pauses a node between reading its clock and writing."""

MAX_LAG_ALLOWANCE_S = 0.2
"""The most that is allowed for the lag of the event loop that records the history."""

LATE_ALLOWANCE_S = 0.5
"""How long after its deadline an answer may still come."""
