"""The gateway: forwards callers' HTTP requests straight to upstreams."""
