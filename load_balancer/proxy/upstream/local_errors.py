"""Recognizes connect errors that the node's own machine causes, and computes the backoff after them."""

from __future__ import annotations

import errno

# Errors that mean that the node's own machine lacks a resource, usually only for a moment.  They say nothing
# about the endpoint.
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
    """Return whether the error was caused by the node's own machine."""
    return error.errno in LOCAL_ERRNOS


def retry_delay_s(earlier_failures: int) -> float:
    """Return the delay before the next connect after a local error: an exponential backoff, in seconds.

    Args:
        earlier_failures: the number of earlier local errors of the same request.
    """
    return min(MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2.0**earlier_failures)
