"""How gateways keep up with the sources of configuration and membership."""
