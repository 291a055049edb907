"""Limits of client accounts, divided among the routers."""
