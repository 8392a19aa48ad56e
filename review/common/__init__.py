"""Stand-ins for the clients, the servers and the platform, which the cases of this review share."""
