"""Streams of events: their pieces, their moves and their resumption."""
