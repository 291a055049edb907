"""Registry through which packages add roles, policies and commands."""
