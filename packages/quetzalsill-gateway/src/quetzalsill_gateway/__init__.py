"""The gateway: forwards callers' HTTP requests directly to upstreams."""
