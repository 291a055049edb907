"""HTTP headers that apply to one connection and are not forwarded."""

from __future__ import annotations

__all__ = ['HOP_BY_HOP']

HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
