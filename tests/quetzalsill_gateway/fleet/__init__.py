"""Tests of what a gateway knows of the fleet."""
