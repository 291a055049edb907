"""The router: accepts callers' requests on an entry host."""
