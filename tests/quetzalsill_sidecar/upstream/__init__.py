"""Tests of the clients of the upstream."""
