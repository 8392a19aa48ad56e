"""The side of the clients: the listening socket, connections, and the response to each request.

Imports of the proxy: HTTP, observability, the descriptor shares and the event loop's helpers.
"""
