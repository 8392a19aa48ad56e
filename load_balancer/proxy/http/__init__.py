"""HTTP/1.1: reading and rendering of messages; header names.  Imports nothing else of the proxy."""
