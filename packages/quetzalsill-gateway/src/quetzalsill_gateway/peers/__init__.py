"""State and source updates that gateways exchange by datagrams."""
