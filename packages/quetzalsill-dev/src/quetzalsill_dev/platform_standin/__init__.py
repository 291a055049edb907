"""Stand-in of the platform: table, object store and host list over HTTP."""
