"""The states of a client connection, and the transitions between them.

``ConnectionState`` is stored and changes with the events of its table.  ``ConnectionPhase`` is derived from
it, from the open requests and from the request being received; timeouts and eviction depend on the phase.
"""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """Which directions of a connection are in use.

    Every other pair of state and event leaves the state as it is:

    ======================  ===============================================  ======================
    state                   event                                            next state
    ======================  ===============================================  ======================
    ``ACCEPTING_REQUESTS``  a request that asks for the close                ``INPUT_ENDED``
    ``ACCEPTING_REQUESTS``  input that is not acceptable, or comes too late  ``INPUT_ENDED``
    ``ACCEPTING_REQUESTS``  the node ends all input at the end of shutdown   ``INPUT_ENDED``
    ``ACCEPTING_REQUESTS``  a response that closes the connection is written  ``FINISHED``
    ``ACCEPTING_REQUESTS``  the client closes, or is found to have closed    ``FINISHED``
    ``ACCEPTING_REQUESTS``  the node closes it: idle, evicted, drained       ``FINISHED``
    ``INPUT_ENDED``         a response that closes the connection is written  ``FINISHED``
    ``INPUT_ENDED``         the client closes, or is found to have closed    ``FINISHED``
    ``INPUT_ENDED``         the node closes it: idle, evicted                ``FINISHED``
    ======================  ===============================================  ======================

    Aborting the transport changes no state, as the event loop reports the end of the connection next.
    """

    ACCEPTING_REQUESTS = "accepting_requests"
    """Requests are read and accepted.  The initial state."""

    INPUT_ENDED = "input_ended"
    """No further request is accepted and further input is discarded; accepted requests are still answered.

    A response is due in this state, except where the node has ended all input."""

    FINISHED = "finished"
    """No response follows: the last one has been written, the client has left, or the node has closed it.

    The transport may still be sending what was written."""


class ConnectionPhase(Enum):
    """What a connection waits for.  The first phase that applies, in this order, is the phase.

    ================  ======================  =============  =================
    phase             state                   open requests  request begun
    ================  ======================  =============  =================
    ``CLOSING``       ``FINISHED``            any            any
    ``RESPONSE_DUE``  any other               one or more    any
    ``RECEIVING``     any other               none           yes
    ``IDLE``          any other               none           no
    ================  ======================  =============  =================
    """

    CLOSING = "closing"
    """For the client to read the last response, or for the end of the connection."""

    RESPONSE_DUE = "response_due"
    """For the response to a request that was accepted."""

    RECEIVING = "receiving"
    """For the rest of a request that has begun."""

    IDLE = "idle"
    """For the next request: it may be closed, as clients resend a request that crosses the close."""


# The same members under module names, which are compared for each piece of input.  Before Python 3.12 a
# look-up of a member on its class calls a Python function, which takes longer than the comparison.
ACCEPTING_REQUESTS = ConnectionState.ACCEPTING_REQUESTS
INPUT_ENDED = ConnectionState.INPUT_ENDED
FINISHED = ConnectionState.FINISHED
CLOSING = ConnectionPhase.CLOSING
RESPONSE_DUE = ConnectionPhase.RESPONSE_DUE
RECEIVING = ConnectionPhase.RECEIVING
IDLE = ConnectionPhase.IDLE
