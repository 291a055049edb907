"""The active configuration document, and which document replaces it.

The number that operators assign decides, not where a document comes from: a
source that was restored from a backup may hold an older document, which would
bring back keys that operators have withdrawn. Of two documents with the same
number the one written last wins, so that all gateways converge on it in
whatever order they receive both.
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

# How long updates carry the patch, so that gateways that missed a datagram get
# it from a later one.
PATCH_TTL_S = 3.0
# A complete document fits a datagram up to this size; compressed, it has about
# a tenth of the size that operators write.
MAX_SNAPSHOT_BYTES = 49_152


class ActiveDocument:
    """The active configuration document.

    Attributes:
      data: Its bytes; empty before the first.
      digest: Distinguishes the document from others.
      mod_revision: Revision of the source at which it was written.
    """

    def __init__(
        self, parse: source.ParseDocument, holder: source.RoutingTableHolder
    ) -> None:
        """Starts without a document.

        Args:
          parse: Builds a routing table from a document.
          holder: Receives the table of each document that becomes active.
        """
        self._parse = parse
        self._holder = holder
        self._patch = b''
        self._patched_at_s = 0.0
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
        """A patch from the previous document, for a while after a change."""
        now = asyncio.get_running_loop().time()
        return self._patch if now - self._patched_at_s < PATCH_TTL_S else b''

    def snapshot(self) -> bytes | None:
        """Returns a patch from an empty document; None if it is too large."""
        if not self.data:
            return None
        return patch_lib.make(b'', self.data, MAX_SNAPSHOT_BYTES)

    def is_superseded_by(self, update: update_lib.ConfigurationUpdate) -> bool:
        """Whether an update announces a configuration that takes precedence.

        A higher number does; with the same number, the one written last.
        """
        if update.number != self.number:
            return update.number > self.number
        if update.digest in (b'', self.digest):
            self.mod_revision = max(self.mod_revision, update.mod_revision)
            return False
        return update.mod_revision > self.mod_revision

    def apply(self, update: update_lib.ConfigurationUpdate) -> bool:
        """Applies the patch of an update.

        Returns:
          Whether the result is the document that the update announces.
        """
        if not update.patch:
            return False
        document = self._apply_patch(update.patch)
        if document is None:
            return False
        self.install(source.Document(document, update.mod_revision))
        is_same = update.digest in (b'', self.digest)
        return is_same and self.number == update.number

    def _apply_patch(self, patch: bytes) -> bytes | None:
        # A snapshot is a patch from an empty document.
        for base in (self.data, b''):
            try:
                return patch_lib.apply(base, patch)
            except error.PatchError:
                continue
        return None

    def cap_revision(self, revision: revision_lib.Revision) -> None:
        """Limits `mod_revision` to the revision of the source.

        Otherwise a faulty revision that a peer has sent would take precedence
        over everything written later with the same number.
        """
        self.mod_revision = min(self.mod_revision, revision)

    def install(self, document: source.Document) -> int:
        """Makes a document active if it takes precedence.

        Returns:
          Its number; 0 if it is invalid.
        """
        try:
            table = self._parse(document.data)
        except error.ConfigurationError as exc:
            event.note(event.ConfigurationInvalid(str(exc), exc.advice))
            return 0
        if table.version == self.number:
            self._resolve_conflict(document, table)
        elif self._holder.install(table):
            self._activate(document)
        return table.version

    def _resolve_conflict(
        self, document: source.Document, table: routing_table.RoutingTable
    ) -> None:
        """Decides between two documents with the same number."""
        if document.mod_revision <= self.mod_revision:
            return
        if document.data == self.data:
            self.mod_revision = document.mod_revision
            return
        event.note(
            event.ConfigurationReplaced(
                table.version,
                str(self.mod_revision),
                str(document.mod_revision),
                'Write the configuration that is meant with a new number.',
            )
        )
        self._holder.replace(table)
        self._activate(document)

    def _activate(self, document: source.Document) -> None:
        if self.data:
            self._patch = patch_lib.make(self.data, document.data) or b''
            self._patched_at_s = asyncio.get_running_loop().time()
        self.data = document.data
        self.digest = patch_lib.digest(document.data)
        self.mod_revision = document.mod_revision
