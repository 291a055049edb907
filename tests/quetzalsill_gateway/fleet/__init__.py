"""Tests of the gateway's view of its fleet."""
