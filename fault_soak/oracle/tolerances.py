"""Tolerances that several checks share."""

from __future__ import annotations

SOCKET_SLACK_S = 0.05
"""The delay in seconds that sockets may add to the time limit of a rule."""

PAUSE_ALLOWANCE_S = 0.15
"""The longest time in seconds for which a fault pauses a node between reading its clock and writing."""

MAX_LAG_ALLOWANCE_S = 0.2
"""The largest allowance in seconds for the lag of the event loop that records the history."""

LATE_ALLOWANCE_S = 0.5
"""The time in seconds by which a response may arrive after the deadline of its request."""
