"""Failures of a document that does not fit its schema."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill.error import base

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ['InvalidDocumentError', 'InvalidKeyError']


class InvalidKeyError(base.QuetzalsillError):
    """One value of a document does not fit.

    Attributes:
      where: File or other origin of the document.
      path: Path of the key, such as `accounts.lagos.limits.concurrency`;
        empty for the document as a whole.
      found: What stands there, shortened, and masked if it is secret.
      allowed: What may stand there.
    """

    code = 'invalid_key'

    def __init__(
        self, where: str, path: str, found: str, allowed: str, advice: str = ''
    ) -> None:
        self.where = where
        self.path = path
        self.found = found
        self.allowed = allowed
        location = f'{where}: {path}' if path else where
        text = f'{location}: found {found}; allowed: {allowed}'
        super().__init__(f'{text}. {advice}' if advice else text, advice=advice)


class InvalidDocumentError(base.QuetzalsillError, ExceptionGroup):
    """A document does not fit; its `exceptions` are all the faults.

    Attributes:
      where: File or other origin of the document.
      exceptions: The `InvalidKeyError` of each fault, in document order.
    """

    code = 'invalid_document'

    def __new__(
        cls, where: str, errors: Sequence[InvalidKeyError]
    ) -> InvalidDocumentError:
        """Makes the group; at least one fault is needed."""
        return super().__new__(cls, f'{where} is not valid', errors)

    def __init__(self, where: str, errors: Sequence[InvalidKeyError]) -> None:
        super().__init__(f'{where} is not valid')
        self.where = where

    def derive(self, excs: Sequence[InvalidKeyError]) -> InvalidDocumentError:
        """Makes the group of a part of the faults, for `except*`."""
        return InvalidDocumentError(self.where, excs)

    def lines(self) -> list[str]:
        """Returns one line of text for each fault."""
        return [str(invalid_key) for invalid_key in self.exceptions]
