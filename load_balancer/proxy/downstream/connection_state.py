"""The states of a client connection, and the transitions between them.

A connection stores its ``ConnectionState``, which changes with the events in the table of that class.  The
``ConnectionPhase`` is derived from the state, from the open requests, and from whether a part of a request
has been read.  Timeouts and eviction depend on the phase.
"""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """Whether a connection accepts requests, only sends responses, or has finished.

    These are all the transitions.  Any other event leaves the state unchanged.

    ======================  ========================================================  ======================
    state                   event                                                     next state
    ======================  ========================================================  ======================
    ``ACCEPTING_REQUESTS``  a request that asks to close the connection is read       ``INPUT_ENDED``
    ``ACCEPTING_REQUESTS``  invalid input is read, or a request takes too long        ``INPUT_ENDED``
    ``ACCEPTING_REQUESTS``  an unexpected error occurs while input is parsed          ``INPUT_ENDED``
    ``ACCEPTING_REQUESTS``  a response that closes the connection is written          ``FINISHED``
    ``ACCEPTING_REQUESTS``  the client closes, or a poll finds that it has closed     ``FINISHED``
    ``ACCEPTING_REQUESTS``  idle timeout, eviction or draining closes the connection  ``FINISHED``
    ``INPUT_ENDED``         a response that closes the connection is written          ``FINISHED``
    ``INPUT_ENDED``         the client closes, or a poll finds that it has closed     ``FINISHED``
    ``INPUT_ENDED``         idle timeout or eviction closes the connection            ``FINISHED``
    ======================  ========================================================  ======================

    Aborting the transport does not change the state.  The event loop reports the end of the connection soon
    after the abort, and then the connection is discarded.
    """

    ACCEPTING_REQUESTS = "accepting_requests"
    """The connection reads and accepts requests.  This is the initial state."""

    INPUT_ENDED = "input_ended"
    """No further request is accepted and further input is discarded.  Accepted requests are still answered.

    A response is always due in this state."""

    FINISHED = "finished"
    """No further response follows.

    The last response has been written, the client has left, or the node has closed the connection.  The
    transport may still be sending output that was written before."""


class ConnectionPhase(Enum):
    """What a connection is waiting for.

    The phase is the first row of this table whose conditions hold:

    ================  ======================  =============  ======================
    phase             state                   open requests  part of a request read
    ================  ======================  =============  ======================
    ``CLOSING``       ``FINISHED``            any            any
    ``RESPONSE_DUE``  any other               one or more    any
    ``RECEIVING``     any other               none           yes
    ``IDLE``          any other               none           no
    ================  ======================  =============  ======================
    """

    CLOSING = "closing"
    """The connection waits for the client to read the last response, or for the end of the connection."""

    RESPONSE_DUE = "response_due"
    """The connection waits for the response to an accepted request."""

    RECEIVING = "receiving"
    """The connection waits for the rest of a request of which a part has been read."""

    IDLE = "idle"
    """The connection waits for the next request.

    The node may close the connection in this phase, because clients resend a request that they sent while the
    node was closing the connection."""


# Aliases of the enum members, which are compared for each piece of input.  Before Python 3.12, looking up a
# member on its enum calls a Python function, which takes longer than the comparison itself.
ACCEPTING_REQUESTS = ConnectionState.ACCEPTING_REQUESTS
INPUT_ENDED = ConnectionState.INPUT_ENDED
FINISHED = ConnectionState.FINISHED
CLOSING = ConnectionPhase.CLOSING
RESPONSE_DUE = ConnectionPhase.RESPONSE_DUE
RECEIVING = ConnectionPhase.RECEIVING
IDLE = ConnectionPhase.IDLE
