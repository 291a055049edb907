"""The sidecars that a router is linked to."""
