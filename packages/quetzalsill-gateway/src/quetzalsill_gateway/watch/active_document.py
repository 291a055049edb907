"""The document of the configuration in force, and which one takes its place.

The number that operators give decides, never where a document comes from: a
source that has come back from a copy may hold an older one, which would serve
keys that they have withdrawn. Of two that bear one number the one that was
written last counts, so that all gateways come to the same, in whatever order
they are told of both.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzalsill_gateway import error, event, source
from quetzalsill_gateway.fleet import revision as revision_lib
from quetzalsill_gateway.watch import patch as patch_lib

if TYPE_CHECKING:
    from quetzalsill_gateway import routing_table
    from quetzalsill_gateway.watch import update as update_lib

__all__ = ['ActiveDocument']

# A patch is told as often as it takes to reach those that missed a datagram.
PATCH_S = 3.0
# A document whole fits a datagram up to this size; packed, it is some tenth of
# what operators write.
MOST_WHOLE_BYTES = 49_152


class ActiveDocument:
    """The document in force.

    Attributes:
      data: Its bytes; empty before the first.
      digest: Tells it from another.
      mod_revision: Revision of the source at which it was written.
    """

    def __init__(
        self, read: source.ParseDocument, holder: source.RoutingTableHolder
    ) -> None:
        """Holds none yet.

        Args:
          read: Makes a routing table of a document.
          holder: Takes each that comes into force.
        """
        self._read = read
        self._holder = holder
        self._patch = b''
        self._patched_s = 0.0
        self.data = b''
        self.digest = b''
        self.mod_revision = revision_lib.NONE

    @property
    def number(self) -> int:
        """The operators' number of the configuration; 0 before the first."""
        table = self._holder.current
        return table.version if table else 0

    @property
    def patch(self) -> bytes:
        """What makes the document of the one before it, just after a change."""
        now = asyncio.get_running_loop().time()
        return self._patch if now - self._patched_s < PATCH_S else b''

    def snapshot(self) -> bytes | None:
        """Returns what makes the document of nothing; None if too large."""
        if not self.data:
            return None
        return patch_lib.make(b'', self.data, MOST_WHOLE_BYTES)

    def is_superseded_by(self, told: update_lib.ConfigurationUpdate) -> bool:
        """Whether a configuration that counts more is told.

        A greater number does; of two with the same, the one written last.
        """
        if told.number != self.number:
            return told.number > self.number
        if told.digest in (b'', self.digest):
            self.mod_revision = max(self.mod_revision, told.mod_revision)
            return False
        return told.mod_revision > self.mod_revision

    def apply(self, told: update_lib.ConfigurationUpdate) -> bool:
        """Whether the patch that is told has made what is told of."""
        if not told.patch:
            return False
        document = self._patched(told.patch)
        if document is None:
            return False
        self.install(source.Document(document, told.mod_revision))
        is_same = told.digest in (b'', self.digest)
        return is_same and self.number == told.number

    def _patched(self, patch: bytes) -> bytes | None:
        # A document that is told whole is a patch of nothing.
        for base in (self.data, b''):
            try:
                return patch_lib.apply(base, patch)
            except error.PatchError:
                continue
        return None

    def cap_revision(self, revision: revision_lib.Revision) -> None:
        """Notes how far the source has come: nothing is written behind it.

        Taken as told, a faulty revision would count above all that is written
        later with the same number.
        """
        self.mod_revision = min(self.mod_revision, revision)

    def install(self, found: source.Document) -> int:
        """Takes a document if it counts more; returns its number or 0."""
        try:
            table = self._read(found.data)
        except error.ConfigurationError as exc:
            event.note(event.ConfigurationInvalid(str(exc), exc.advice))
            return 0
        if table.version == self.number:
            self._settle(found, table)
        elif self._holder.install(table):
            self._take(found)
        return table.version

    def _settle(
        self, found: source.Document, table: routing_table.RoutingTable
    ) -> None:
        """Settles which of two documents that bear one number is in force."""
        if found.mod_revision <= self.mod_revision:
            return
        if found.data == self.data:
            self.mod_revision = found.mod_revision
            return
        event.note(
            event.ConfigurationReplaced(
                table.version,
                str(self.mod_revision),
                str(found.mod_revision),
                'Write the configuration that is meant with a new number.',
            )
        )
        self._holder.replace(table)
        self._take(found)

    def _take(self, found: source.Document) -> None:
        if self.data:
            self._patch = patch_lib.make(self.data, found.data) or b''
            self._patched_s = asyncio.get_running_loop().time()
        self.data = found.data
        self.digest = patch_lib.digest(found.data)
        self.mod_revision = found.mod_revision
