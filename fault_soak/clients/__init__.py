"""Stub clients, which send requests, wait for responses, leave early, resend requests, or misbehave."""
