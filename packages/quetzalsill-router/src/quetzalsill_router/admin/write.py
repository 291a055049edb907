"""Writes of the configuration; each is one edit of the whole document."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill_router.admin import answer, body, change, edit

if TYPE_CHECKING:
    from quetzalsill_router.admin import call as admin_call

__all__ = [
    'configuration',
    'drain',
    'entry',
    'limits',
    'policies',
    'removal',
]


async def _submit(call: admin_call.Call, wanted: change.Change) -> answer.Reply:
    accepted = await edit.submit(call.context, call.edit(), wanted)
    return answer.Reply(
        {
            'revision': accepted.revision,
            'edit': accepted.edit,
            'earlier': accepted.earlier,
        },
        accepted.revision,
        accepted.edit,
    )


async def configuration(call: admin_call.Call) -> answer.Reply:
    """Replaces the whole document."""
    wanted = await body.read_object(call.req)
    return await _submit(call, change.replace(wanted))


def entry(section: str) -> admin_call.Handler:
    """Makes the handler that adds or replaces an entry of a section."""

    async def handle(call: admin_call.Call) -> answer.Reply:
        value = await body.read_object(call.req)
        wanted = change.put_entry(section, call.name(), value)
        return await _submit(call, wanted)

    return handle


def removal(section: str) -> admin_call.Handler:
    """Makes the handler that removes an entry of a section."""

    async def handle(call: admin_call.Call) -> answer.Reply:
        return await _submit(call, change.remove_entry(section, call.name()))

    return handle


async def limits(call: admin_call.Call) -> answer.Reply:
    """Replaces the limits of one client account."""
    value = await body.read_object(call.req)
    return await _submit(call, change.put_limits(call.name(), value))


async def policies(call: admin_call.Call) -> answer.Reply:
    """Replaces the policies."""
    value = await body.read_object(call.req)
    return await _submit(call, change.put_policies(value))


def drain(draining: bool) -> admin_call.Handler:
    """Makes the handler that starts or ends the drain of an upstream."""

    async def handle(call: admin_call.Call) -> answer.Reply:
        wanted = change.set_draining(call.name(), draining)
        return await _submit(call, wanted)

    return handle
