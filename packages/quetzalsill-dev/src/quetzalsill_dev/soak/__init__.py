"""A randomized soak test of gateways under external faults."""
