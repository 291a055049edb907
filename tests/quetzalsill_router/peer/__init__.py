"""Tests of quetzalsill_router.peer."""
