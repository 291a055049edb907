"""Endpoints that edit the configuration; each edit makes one revision."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill_router.admin import body, change, edit, response

if TYPE_CHECKING:
    from quetzalsill_router.admin import call as admin_call

__all__ = [
    'configuration',
    'drain',
    'limits',
    'policies',
    'put_entry',
    'remove_entry',
]


async def _submit(
    call: admin_call.Call, apply_change: change.Change
) -> response.Reply:
    accepted = await edit.submit(call.context, call.read_edit(), apply_change)
    return response.Reply(
        {
            'revision': accepted.revision,
            'edit': accepted.edit,
            'earlier': accepted.already_accepted,
        },
        accepted.revision,
        accepted.edit,
    )


async def configuration(call: admin_call.Call) -> response.Reply:
    """Replaces the complete document."""
    document = await body.read_object(call.req)
    return await _submit(call, change.replace_document(document))


def put_entry(section: str) -> admin_call.Handler:
    """Returns a handler that adds or replaces an entry of a section."""

    async def handle(call: admin_call.Call) -> response.Reply:
        value = await body.read_object(call.req)
        apply_change = change.put_entry(section, call.route_name(), value)
        return await _submit(call, apply_change)

    return handle


def remove_entry(section: str) -> admin_call.Handler:
    """Returns a handler that removes an entry of a section."""

    async def handle(call: admin_call.Call) -> response.Reply:
        return await _submit(
            call, change.remove_entry(section, call.route_name())
        )

    return handle


async def limits(call: admin_call.Call) -> response.Reply:
    """Replaces the limits of one client account."""
    value = await body.read_object(call.req)
    return await _submit(call, change.put_limits(call.route_name(), value))


async def policies(call: admin_call.Call) -> response.Reply:
    """Replaces the `policies` section."""
    value = await body.read_object(call.req)
    return await _submit(call, change.put_policies(value))


def drain(draining: bool) -> admin_call.Handler:
    """Returns a handler that starts or stops draining an upstream."""

    async def handle(call: admin_call.Call) -> response.Reply:
        apply_change = change.set_draining(call.route_name(), draining)
        return await _submit(call, apply_change)

    return handle
