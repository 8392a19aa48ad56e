"""Commands for developers: recorded streams and measurements."""
