"""Endpoints that read the configuration and its history."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import AsyncIterator, Iterable
from typing import TYPE_CHECKING, Any

from quetzalsill.config import difference, document, model, revision, store
from quetzalsill.error import request as request_error
from quetzalsill_router.admin import access, mask, refresh, response

if TYPE_CHECKING:
    from quetzalsill_router.admin import call as admin_call

__all__ = ['configuration', 'diff', 'entry', 'history', 'limits', 'section']

_DEFAULT_HISTORY = 20
_MAX_HISTORY = 1000
_MAX_HISTORY_OF_PATH = 100
_MAX_REVISION = 10**17


async def _latest_document(call: admin_call.Call) -> tuple[int, dict[str, Any]]:
    """Returns the latest revision; secrets are masked for viewers."""
    await refresh.catch_up(call.context)
    holder = call.context.holder
    data = json.loads(document.render(holder.current))
    if call.operator.role is not access.Role.OPERATOR:
        data = mask.mask_secrets(data)
    return holder.revision, data


async def configuration(call: admin_call.Call) -> response.Reply:
    """Returns the complete document."""
    revision, data = await _latest_document(call)
    return response.Reply({**data, 'revision': revision}, revision)


def section(name: str) -> admin_call.Handler:
    """Returns a handler that reads one section."""

    async def handle(call: admin_call.Call) -> response.Reply:
        revision, data = await _latest_document(call)
        body = {'revision': revision, 'value': data[name]}
        return response.Reply(body, revision)

    return handle


def _find_entry(data: dict[str, Any], name: str, entry_name: str) -> Any:
    if entry_name not in data[name]:
        raise request_error.NotFoundError(f'no {name}.{entry_name}')
    return data[name][entry_name]


def entry(name: str) -> admin_call.Handler:
    """Returns a handler that reads one entry of a section."""

    async def handle(call: admin_call.Call) -> response.Reply:
        revision, data = await _latest_document(call)
        value = _find_entry(data, name, call.route_name())
        body = {'revision': revision, 'name': call.route_name(), 'value': value}
        return response.Reply(body, revision)

    return handle


async def limits(call: admin_call.Call) -> response.Reply:
    """Returns the limits of one client account."""
    revision, data = await _latest_document(call)
    value = _find_entry(data, 'accounts', call.route_name())['limits']
    body = {'revision': revision, 'name': call.route_name(), 'value': value}
    return response.Reply(body, revision)


def _changes_under(
    changes: Iterable[difference.Change], path: str
) -> list[Any]:
    """Returns the changes at a key path and below it as JSON data."""
    return [
        dataclasses.asdict(change)
        for change in changes
        if change.path == path or change.path.startswith(f'{path}.')
    ]


async def _entries_changing(
    call: admin_call.Call, entries: Iterable[revision.Revision], path: str
) -> AsyncIterator[dict[str, Any]]:
    """Yields the history entries that changed a path, with the changes."""
    before = None
    for entry in entries:
        after = before or await _load_revision(call, entry.revision)
        before = await _load_revision(call, entry.revision - 1)
        changes = _changes_under(difference.difference(before, after), path)
        if changes:
            yield {**_entry_data(entry), 'changes': changes}


def _entry_data(entry: revision.Revision) -> dict[str, Any]:
    return {
        'revision': entry.revision,
        'edit': entry.edit,
        'author': entry.author,
        'note': entry.note,
        'at': entry.at,
    }


async def history(call: admin_call.Call) -> response.Reply:
    """Returns the latest revisions with their authors, newest first.

    With a path such as `profiles.prompt`, returns only those that changed a
    key at or below it, with their changes.
    """
    path = call.query_text('path')
    maximum = _MAX_HISTORY if not path else _MAX_HISTORY_OF_PATH
    limit = call.query_int('limit', _DEFAULT_HISTORY, maximum)
    entries = await call.context.store.history(limit) if limit else []
    if path:
        found = [item async for item in _entries_changing(call, entries, path)]
    else:
        found = [_entry_data(entry) for entry in entries]
    return response.Reply({'entries': found})


async def _load_revision(
    call: admin_call.Call, number: int
) -> model.Configuration:
    """Loads one revision; revision 0 is the empty configuration."""
    if number == 0:
        return model.Configuration()
    try:
        data = await call.context.store.load(number)
    except store.RevisionMissingError as exc:
        raise request_error.NotFoundError(f'no revision {number}') from exc
    return document.parse(data, number)


async def diff(call: admin_call.Call) -> response.Reply:
    """Returns the changes between two revisions."""
    head = await call.context.store.head()
    to = call.query_int('to', head.revision, _MAX_REVISION)
    since = call.query_int('from', max(0, to - 1), _MAX_REVISION)
    found = difference.difference(
        await _load_revision(call, since), await _load_revision(call, to)
    )
    changes = [dataclasses.asdict(change) for change in found]
    return response.Reply({'from': since, 'to': to, 'changes': changes})
