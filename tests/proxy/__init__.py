"""Tests of the proxy, on loopback sockets."""
