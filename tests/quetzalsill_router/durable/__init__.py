"""Tests of what a router keeps in the platform."""
