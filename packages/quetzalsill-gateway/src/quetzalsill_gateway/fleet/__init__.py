"""A gateway's view of its fleet: upstreams, zones and other gateways."""
