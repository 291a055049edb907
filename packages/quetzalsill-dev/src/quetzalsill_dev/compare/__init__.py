"""Compares revisions of the code on the users' benchmark."""
