"""The client side: the listening socket, connections, and the one response to each request.

``server`` composes ``listener``, ``connection_table``, ``disconnect_poller`` and ``request_router``, and
makes a ``connection`` for each client.  A connection has a ``client_transport``, a ``connection_state`` and a
``response_queue`` of ``response_slot`` objects; ``timeouts`` and ``eviction`` decide by its phase when it is
closed.  ``request_parsing`` reads the headers of a request.

Imports of the proxy: HTTP, observability, the descriptor shares and the event loop's helpers.
"""
