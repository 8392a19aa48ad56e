"""Commands for developers: replay and compare recorded adapter streams, and measure decision costs."""
