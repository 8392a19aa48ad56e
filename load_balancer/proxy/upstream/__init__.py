"""The side of the endpoints: connection pools, connections and the requests that they carry.

Imports of the proxy: addresses, the endpoint listing, HTTP and the event loop's helpers.
"""
