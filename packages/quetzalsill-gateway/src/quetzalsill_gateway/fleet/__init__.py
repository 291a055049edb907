"""What a gateway knows of the fleet: upstreams, zones, other gateways."""
