"""Helpers for the event loop: timers, a clock and polling.  They import no other part of the proxy."""
