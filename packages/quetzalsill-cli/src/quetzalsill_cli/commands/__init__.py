"""Command groups; each registers itself under the kind `command`."""
