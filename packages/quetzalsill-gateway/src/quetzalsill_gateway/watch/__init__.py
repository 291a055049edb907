"""Follows the sources of configuration and membership."""
