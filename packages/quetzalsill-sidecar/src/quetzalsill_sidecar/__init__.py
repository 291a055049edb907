"""The sidecar: the only path to one upstream."""
