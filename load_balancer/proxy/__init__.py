"""The real node: connects the policy to sockets and decides nothing itself."""
