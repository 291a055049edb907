"""Kinds of work in a Dispatch message."""

from __future__ import annotations

__all__ = ['CALL', 'CHAT', 'COMPLETION', 'GENERATIONS']

COMPLETION = 'completion'
CHAT = 'chat'
CALL = 'call'
GENERATIONS = (COMPLETION, CHAT)
