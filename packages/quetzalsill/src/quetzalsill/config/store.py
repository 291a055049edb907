"""The shared configuration in the platform: one line of revisions.

Each revision is an immutable object, an immutable row that describes it, and
a row named for the edit that made it. One transaction adds both rows and
moves the head row from the revision that the operator had read. So of several
operators racing from one revision exactly one wins, and an edit is accepted
once at most, however often it is sent.
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
    """Another edit was accepted first; this one was not and will not be.

    Attributes:
      current: Revision at the head now.
    """

    code = 'revision_conflict'
    advice = 'Read the current revision, apply the edit to it, send it again.'

    def __init__(self, current: int) -> None:
        super().__init__(f'the current revision is {current}')
        self.current = current


class OutcomeUnknownEditError(ConfigStoreError):
    """The store was lost before it told whether the edit was accepted.

    Attributes:
      edit: Id of the edit.
      expected: Revision from which it was made.
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
    """The edit id was used for another document."""

    code = 'edit_reused'
    advice = 'Give each edit an id of its own.'


class RevisionMissingError(ConfigStoreError):
    """A revision does not exist, or its document is lost or damaged."""

    code = 'revision_missing'


@dataclasses.dataclass(slots=True, frozen=True)
class _VersionedHead:
    """The head and the version of its row."""

    head: revision.Head
    version: int


class ConfigStore:
    """Reads and publishes revisions.

    `publish` lasts at most `settle_s` and the bound of one call more. An edit
    that loses leaves its object behind, to which nothing refers.
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
        """Reads which revision is the newest.

        Raises:
          PlatformError: The store does not answer as it should.
        """
        return (await self._read_head()).head

    async def load(self, number: int) -> bytes:
        """Reads the document of a revision.

        Raises:
          RevisionMissingError: There is none, or it is damaged.
          PlatformError: The store does not answer as it should.
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
          PlatformError: The store does not answer as it should.
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
        """Makes a document the next revision.

        An edit that was accepted before gives its revision again.

        Args:
          document: The whole configuration, checked by the caller.
          expected_revision: The revision that it was made from.
          edit: Id of the edit, unique for ever.
          author: Operator.
          note: For the history.

        Returns:
          The revision that holds the document.

        Raises:
          RevisionConflictError: The head is not the expected revision.
          OutcomeUnknownEditError: The store was lost in the midst and did not
            come back in time.
          EditReusedError: The edit id belongs to another document.
          PlatformUnavailableError: This call has published nothing, and what
            it sent can't take effect any more.
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
        """Moves the head, through lost answers, until the outcome is known.

        A transaction without an answer may still take effect later, so to
        find the head unmoved settles nothing. The same transaction is sent
        again: all copies are conditional on one version of the head row, so
        one of them counts at most, and as soon as one or another editor's
        counts, the rest never can.
        """
        in_doubt = False
        async for _ in self._retries(deadline):
            try:
                await self._transact(entry, current)
                return entry.revision
            except error.ConditionFailedError:
                return await self._resolve_conflict(entry, deadline)
            except error.PlatformAnswerLostError:
                in_doubt = True
            except error.PlatformError:
                if not in_doubt:
                    raise
        raise OutcomeUnknownEditError(entry.edit, entry.revision - 1)

    async def _resolve_conflict(
        self, entry: revision.Revision, deadline: float
    ) -> int:
        """Reads what a failed condition means, until the store answers."""
        async for _ in self._retries(deadline):
            try:
                return await self._accepted_or_conflict(entry)
            except error.PlatformUnavailableError:
                continue
        raise OutcomeUnknownEditError(entry.edit, entry.revision - 1)

    async def _accepted_or_conflict(self, entry: revision.Revision) -> int:
        """Gives the revision of this edit if it was accepted.

        The head has moved on from the expected revision by now, so that an
        edit without a row can't get one any more.
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
        """Creates the object, which nothing refers to yet.

        Sending it again after a lost answer is safe: the key holds the digest
        of the bytes, so that whoever created it wrote the same.
        """
        async for _ in self._retries(deadline):
            try:
                await self._documents.put(entry.document, document, True)
                return
            except error.ObjectExistsError:
                return
            except error.PlatformAnswerLostError:
                continue
        raise error.PlatformUnavailableError('the document was not stored')

    async def _retries(self, deadline: float) -> AsyncIterator[None]:
        """Yields at once, then after growing waits until the deadline."""
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
