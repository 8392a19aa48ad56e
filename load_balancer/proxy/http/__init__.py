"""HTTP/1.1: reading messages, rendering messages, and the names of headers.

The modules of this package import no other package of the proxy.
"""
