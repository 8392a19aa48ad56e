"""The client side of the node: the listening socket, the client connections, and the responses to requests.

``server`` composes ``listener``, ``connection_table``, ``disconnect_poller`` and ``request_router``, and
creates a ``connection`` for each client connection.  Each connection has a ``client_transport``, a
``connection_state`` and a ``response_queue`` of ``response_slot`` objects.  ``timeouts`` and ``eviction``
decide whether to close a connection; the decision depends on what the connection is waiting for.
``request_parsing`` parses the headers of a request.

This package imports only these parts of the proxy: ``http``, ``observability``, ``descriptors`` and
``event_loop``.
"""
