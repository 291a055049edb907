"""The sidecar: a proxy that all requests to one upstream pass through."""
