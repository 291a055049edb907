"""Stand-ins of the platform's store, servers and clients, for the cases."""
