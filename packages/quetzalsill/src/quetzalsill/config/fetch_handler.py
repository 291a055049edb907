"""Replies to processes that fetch the active configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill.wire import message

if TYPE_CHECKING:
    from quetzalsill.config import holder

__all__ = ['build_reply']


def build_reply(
    config_holder: holder.Holder, fetch: message.ConfigFetch
) -> message.ConfigReply | None:
    """Returns the reply to a fetch; None if no newer revision is active."""
    if config_holder.revision <= fetch.revision:
        return None
    return message.ConfigReply(config_holder.revision, config_holder.document)
