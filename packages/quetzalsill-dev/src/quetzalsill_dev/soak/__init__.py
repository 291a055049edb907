"""A randomized soak of gateways under faults from outside."""
