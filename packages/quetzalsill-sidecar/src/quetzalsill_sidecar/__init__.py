"""The sidecar: a proxy through which one upstream is reached."""
