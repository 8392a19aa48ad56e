"""The upstream side of the proxy: connection pools, connections and the requests sent to endpoints.

From the rest of the proxy, this package imports only the addresses, the endpoint listing, the HTTP modules
and the helpers for the event loop.
"""
