"""HTTP client and server, TLS contexts, deadlines and stop signals."""
