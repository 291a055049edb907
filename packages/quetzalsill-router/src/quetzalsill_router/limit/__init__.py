"""Bounds of client accounts, shared by routers."""
