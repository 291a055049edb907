"""Plumbing around HTTP and TLS libraries."""
