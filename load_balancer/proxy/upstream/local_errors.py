"""Connects that fail on the node's own machine: which errors these are, and the backoff after one."""

from __future__ import annotations

import errno

# The node's own machine lacks a resource, as a rule for a moment; the error says nothing about the endpoint.
LOCAL_ERRNOS = frozenset(
    {
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
FIRST_RETRY_DELAY_S = 0.01
MAX_RETRY_DELAY_S = 0.1


def is_local(error: OSError) -> bool:
    """Whether the error is of the node's own machine."""
    return error.errno in LOCAL_ERRNOS


def retry_delay_s(earlier_failures: int) -> float:
    """The exponential backoff after a local error that followed this many others."""
    return min(MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2.0**earlier_failures)
