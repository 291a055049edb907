"""Tests of quetzalsill_router.request."""
