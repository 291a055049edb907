"""Errors of documents that do not match their schema."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzalsill.error import base

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ['InvalidDocumentError', 'InvalidKeyError']


class InvalidKeyError(base.QuetzalsillError):
    """One value of a document is invalid.

    Attributes:
      where: File or other origin of the document.
      path: Path of the key, such as `accounts.lagos.limits.concurrency`;
        empty for the document as a whole.
      found: The value found, shortened, and masked if it is secret.
      allowed: Description of the allowed values.
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
    """A document is invalid; its `exceptions` are all the errors found.

    Attributes:
      where: File or other origin of the document.
      exceptions: An `InvalidKeyError` for each error, in document order.
    """

    code = 'invalid_document'

    def __new__(
        cls, where: str, errors: Sequence[InvalidKeyError]
    ) -> InvalidDocumentError:
        """Creates the group; at least one error is required."""
        return super().__new__(cls, f'{where} is not valid', errors)

    def __init__(self, where: str, errors: Sequence[InvalidKeyError]) -> None:
        super().__init__(f'{where} is not valid')
        self.where = where

    def derive(self, excs: Sequence[InvalidKeyError]) -> InvalidDocumentError:
        """Creates a group from a subset of the errors, for `except*`."""
        return InvalidDocumentError(self.where, excs)

    def lines(self) -> list[str]:
        """Returns one line of text for each error."""
        return [str(invalid_key) for invalid_key in self.exceptions]
