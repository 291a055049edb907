"""Tests of how gateways keep up with their sources."""
