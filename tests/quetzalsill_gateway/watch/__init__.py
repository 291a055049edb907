"""Tests of how gateways follow their sources."""
