"""Tests of the stand-ins of the users' platform."""
