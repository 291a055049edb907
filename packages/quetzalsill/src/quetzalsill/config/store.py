"""The shared configuration in the platform: a linear history of revisions.

Each revision consists of an immutable object, an immutable row that describes
it, and a row keyed by the id of the edit that created it. One transaction adds
both rows and advances the head row from the revision that the operator had
read. Of several concurrent edits of one revision exactly one succeeds, and an
edit is accepted at most once, however often it is sent.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time
from typing import TYPE_CHECKING

from quetzalsill.config import revision
from quetzalsill.error import base
from quetzalsill.platform import error, table

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from quetzalsill.platform import objects

__all__ = [
    'ConfigStore',
    'ConfigStoreError',
    'EditReusedError',
    'OutcomeUnknownEditError',
    'RevisionConflictError',
    'RevisionMissingError',
]

TABLE = revision.TABLE
PUBLISH_TIMEOUT_S = 10.0
MIN_RETRY_WAIT_S = 0.05
MAX_RETRY_WAIT_S = 1.0


class ConfigStoreError(base.QuetzalsillError):
    """An operation on the stored configuration failed."""

    code = 'config_store'


class RevisionConflictError(ConfigStoreError):
    """Another edit was accepted first; this one was not and never will be.

    Attributes:
      current: Revision that is now the head.
    """

    code = 'revision_conflict'
    advice = 'Read the current revision, apply the edit to it, send it again.'

    def __init__(self, current: int) -> None:
        super().__init__(f'the current revision is {current}')
        self.current = current


class OutcomeUnknownEditError(ConfigStoreError):
    """The store failed before it reported whether the edit was accepted.

    Attributes:
      edit: Id of the edit.
      expected: Revision on which the edit is based.
    """

    code = 'edit_outcome_unknown'

    def __init__(self, edit: str, expected: int) -> None:
        super().__init__(
            f'edit {edit} on revision {expected} may have been accepted',
            advice=(
                'Once the store answers, look for this edit id in the history, '
                'or send the same edit with the same id and expected revision '
                'again: it is accepted once at most.'
            ),
        )
        self.edit = edit
        self.expected = expected


class EditReusedError(ConfigStoreError):
    """The edit id was already used for another document."""

    code = 'edit_reused'
    advice = 'Give each edit an id of its own.'


class RevisionMissingError(ConfigStoreError):
    """A revision does not exist, or its document is missing or corrupt."""

    code = 'revision_missing'


@dataclasses.dataclass(slots=True, frozen=True)
class _VersionedHead:
    """The head revision and the version of its row."""

    head: revision.Head
    version: int


class ConfigStore:
    """Reads and publishes revisions.

    `publish` takes at most `publish_timeout_s` plus the timeout of one call.
    A rejected edit leaves an unreferenced object in the object store.
    """

    def __init__(
        self,
        rows: table.Table,
        documents: objects.Objects,
        publish_timeout_s: float = PUBLISH_TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._rows = rows
        self._documents = documents
        self._publish_timeout_s = publish_timeout_s
        self._clock = clock
        self._sleep = sleep

    async def head(self) -> revision.Head:
        """Reads the head, which identifies the newest revision.

        Raises:
          PlatformError: The store does not respond or the response is invalid.
        """
        return (await self._read_head()).head

    async def load(self, number: int) -> bytes:
        """Reads the document of a revision.

        Raises:
          RevisionMissingError: It does not exist, or its document is corrupt.
          PlatformError: The store does not respond or the response is invalid.
        """
        row = await self._rows.get(TABLE, revision.revision_key(number))
        if row is None:
            raise RevisionMissingError(f'no revision {number}')
        entry = revision.parse_revision(row.value)
        document = await self._documents.get(entry.document)
        if document is None or revision.digest(document) != entry.sha256:
            raise RevisionMissingError(f'document of revision {number}')
        return document

    async def history(self, limit: int) -> list[revision.Revision]:
        """Reads the newest revisions, newest first.

        Raises:
          PlatformError: The store does not respond or the response is invalid.
        """
        newest = (await self.head()).revision
        after = revision.revision_key(max(0, newest - limit))
        rows = await self._rows.page(
            TABLE, revision.REVISION_PREFIX, after, limit
        )
        return [revision.parse_revision(row.value) for row in reversed(rows)]

    async def publish(
        self,
        document: bytes,
        expected_revision: int,
        edit: str,
        author: str,
        note: str,
    ) -> int:
        """Publishes a document as the next revision.

        Publishing an accepted edit again returns its revision.

        Args:
          document: The complete configuration, validated by the caller.
          expected_revision: The revision on which the edit is based.
          edit: Id of the edit, never reused.
          author: Operator.
          note: Comment kept in the history.

        Returns:
          The revision that contains the document.

        Raises:
          RevisionConflictError: The head is not the expected revision.
          OutcomeUnknownEditError: The store failed during the call and did
            not recover in time.
          EditReusedError: The edit id belongs to another document.
          PlatformUnavailableError: This call has published nothing, and what
            it sent can no longer take effect.
        """
        entry = revision.describe(
            document, expected_revision + 1, edit, author, note
        )
        deadline = self._clock() + self._publish_timeout_s
        current = await self._read_head()
        if current.head.revision != expected_revision:
            return await self._accepted_or_conflict(entry)
        await self._store_document(entry, document, deadline)
        return await self._commit(entry, current, deadline)

    async def _commit(
        self,
        entry: revision.Revision,
        current: _VersionedHead,
        deadline: float,
    ) -> int:
        """Advances the head; retries lost responses until the outcome is known.

        A transaction without a response may still take effect later, so an
        unchanged head proves nothing. The same transaction is sent again: all
        copies are conditional on the same version of the head row, so at most
        one of them takes effect. Once one of them or an edit by someone else
        has taken effect, the remaining copies never can.
        """
        outcome_unknown = False
        async for _ in self._attempts(deadline):
            try:
                await self._transact(entry, current)
                return entry.revision
            except error.ConditionFailedError:
                return await self._resolve_conflict(entry, deadline)
            except error.PlatformAnswerLostError:
                outcome_unknown = True
            except error.PlatformError:
                if not outcome_unknown:
                    raise
        raise OutcomeUnknownEditError(entry.edit, entry.revision - 1)

    async def _resolve_conflict(
        self, entry: revision.Revision, deadline: float
    ) -> int:
        """Finds out why a condition failed; retries until the store replies."""
        async for _ in self._attempts(deadline):
            try:
                return await self._accepted_or_conflict(entry)
            except error.PlatformUnavailableError:
                continue
        raise OutcomeUnknownEditError(entry.edit, entry.revision - 1)

    async def _accepted_or_conflict(self, entry: revision.Revision) -> int:
        """Returns the revision of this edit if it was accepted.

        The head is no longer the expected revision, so an edit that has no
        row yet can never be accepted.
        """
        row = await self._rows.get(TABLE, revision.edit_key(entry.edit))
        if row is None:
            raise RevisionConflictError((await self.head()).revision)
        accepted = revision.parse_revision(row.value)
        if accepted.sha256 != entry.sha256:
            raise EditReusedError(f'edit {entry.edit}')
        return accepted.revision

    async def _store_document(
        self, entry: revision.Revision, document: bytes, deadline: float
    ) -> None:
        """Creates the object of the document, not referenced yet.

        Retrying after a lost response is safe: the key contains the digest of
        the content, so an existing object has the same content.
        """
        async for _ in self._attempts(deadline):
            try:
                await self._documents.put(entry.document, document, True)
                return
            except error.ObjectExistsError:
                return
            except error.PlatformAnswerLostError:
                continue
        raise error.PlatformUnavailableError('the document was not stored')

    async def _attempts(self, deadline: float) -> AsyncIterator[None]:
        """Yields at once, then after increasing delays until the deadline."""
        wait_s = MIN_RETRY_WAIT_S
        yield
        while self._clock() + wait_s <= deadline:
            await self._sleep(wait_s * random.uniform(0.5, 1.0))
            wait_s = min(MAX_RETRY_WAIT_S, 2 * wait_s)
            yield

    async def _transact(
        self, entry: revision.Revision, current: _VersionedHead
    ) -> None:
        plain = dataclasses.asdict(entry)
        head = revision.Head(entry.revision, entry.edit, entry.author, entry.at)
        new_keys = (
            revision.revision_key(entry.revision),
            revision.edit_key(entry.edit),
        )
        await self._rows.transact(
            [
                table.Condition(TABLE, revision.HEAD_KEY, current.version),
                *(table.Condition(TABLE, key, 0) for key in new_keys),
            ],
            [
                table.Write(TABLE, revision.HEAD_KEY, dataclasses.asdict(head)),
                *(table.Write(TABLE, key, plain) for key in new_keys),
            ],
        )

    async def _read_head(self) -> _VersionedHead:
        row = await self._rows.get(TABLE, revision.HEAD_KEY)
        if row is None:
            return _VersionedHead(revision.Head(), 0)
        return _VersionedHead(revision.parse_head(row.value), row.version)
