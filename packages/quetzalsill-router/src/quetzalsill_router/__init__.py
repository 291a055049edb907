"""The router: takes the requests of callers on an entry host."""
