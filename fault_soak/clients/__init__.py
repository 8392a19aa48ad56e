"""Stub clients, which send requests, wait, leave early, send again on another connection, or misbehave."""
