"""Tests of a router's durable state."""
