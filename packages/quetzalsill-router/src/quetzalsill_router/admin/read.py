"""Reads of the configuration and its history."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import AsyncIterator, Iterable
from typing import TYPE_CHECKING, Any

from quetzalsill.config import difference, document, model, revision, store
from quetzalsill.error import request as request_error
from quetzalsill_router.admin import access, answer, mask, newest

if TYPE_CHECKING:
    from quetzalsill_router.admin import call as admin_call

__all__ = ['configuration', 'diff', 'entry', 'history', 'limits', 'section']

_HISTORY_DEFAULT = 20
_HISTORY_MAXIMUM = 1000
_CHANGES_MAXIMUM = 100
_REVISION_MAXIMUM = 10**17


async def _document(call: admin_call.Call) -> tuple[int, dict[str, Any]]:
    """Gives the newest document, with secrets as far as the role goes."""
    await newest.catch_up(call.context)
    holder = call.context.holder
    plain = json.loads(document.render(holder.current))
    if call.operator.role is not access.Role.OPERATOR:
        plain = mask.masked(plain)
    return holder.revision, plain


async def configuration(call: admin_call.Call) -> answer.Reply:
    """Gives the whole document."""
    revision, plain = await _document(call)
    return answer.Reply({**plain, 'revision': revision}, revision)


def section(name: str) -> admin_call.Handler:
    """Makes the handler that gives one section whole."""

    async def handle(call: admin_call.Call) -> answer.Reply:
        revision, plain = await _document(call)
        body = {'revision': revision, 'value': plain[name]}
        return answer.Reply(body, revision)

    return handle


def _found(plain: dict[str, Any], name: str, entry_name: str) -> Any:
    if entry_name not in plain[name]:
        raise request_error.NotFoundError(f'no {name}.{entry_name}')
    return plain[name][entry_name]


def entry(name: str) -> admin_call.Handler:
    """Makes the handler that gives one entry of a section."""

    async def handle(call: admin_call.Call) -> answer.Reply:
        revision, plain = await _document(call)
        value = _found(plain, name, call.name())
        body = {'revision': revision, 'name': call.name(), 'value': value}
        return answer.Reply(body, revision)

    return handle


async def limits(call: admin_call.Call) -> answer.Reply:
    """Gives the limits of one client account."""
    revision, plain = await _document(call)
    value = _found(plain, 'accounts', call.name())['limits']
    body = {'revision': revision, 'name': call.name(), 'value': value}
    return answer.Reply(body, revision)


def _below(changes: Iterable[difference.Change], path: str) -> list[Any]:
    """Gives the changes of a key and of those below it, as JSON data."""
    return [
        dataclasses.asdict(change)
        for change in changes
        if change.path == path or change.path.startswith(f'{path}.')
    ]


async def _entries(
    call: admin_call.Call, entries: Iterable[revision.Revision], path: str
) -> AsyncIterator[dict[str, Any]]:
    """Yields the entries that changed a path, with these changes."""
    newer = None
    for entry in entries:
        new = newer or await _revision(call, entry.revision)
        newer = await _revision(call, entry.revision - 1)
        changes = _below(difference.difference(newer, new), path)
        if changes:
            yield {**_plain(entry), 'changes': changes}


def _plain(entry: revision.Revision) -> dict[str, Any]:
    return {
        'revision': entry.revision,
        'edit': entry.edit,
        'author': entry.author,
        'note': entry.note,
        'at': entry.at,
    }


async def history(call: admin_call.Call) -> answer.Reply:
    """Gives who made the newest revisions, the newest first.

    With a path, such as `profiles.prompt`, gives those of them that changed
    a key there, each with its changes.
    """
    path = call.text('path')
    maximum = _HISTORY_MAXIMUM if not path else _CHANGES_MAXIMUM
    limit = call.number('limit', _HISTORY_DEFAULT, maximum)
    entries = await call.context.store.history(limit) if limit else []
    if path:
        found = [item async for item in _entries(call, entries, path)]
    else:
        found = [_plain(entry) for entry in entries]
    return answer.Reply({'entries': found})


async def _revision(call: admin_call.Call, number: int) -> model.Configuration:
    """Loads one revision; revision 0 is the empty configuration."""
    if number == 0:
        return model.Configuration()
    try:
        data = await call.context.store.load(number)
    except store.RevisionMissingError as exc:
        raise request_error.NotFoundError(f'no revision {number}') from exc
    return document.parse(data, number)


async def diff(call: admin_call.Call) -> answer.Reply:
    """Gives the changes between two revisions."""
    head = await call.context.store.head()
    to = call.number('to', head.revision, _REVISION_MAXIMUM)
    since = call.number('from', max(0, to - 1), _REVISION_MAXIMUM)
    found = difference.difference(
        await _revision(call, since), await _revision(call, to)
    )
    changes = [dataclasses.asdict(change) for change in found]
    return answer.Reply({'from': since, 'to': to, 'changes': changes})
