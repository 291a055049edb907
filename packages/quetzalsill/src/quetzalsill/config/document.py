"""Serialization of the configuration for the store and for links."""

from __future__ import annotations

import json

from quetzalsill.config import model
from quetzalsill.schema import check, load
from quetzalsill.schema import error as schema_error
from quetzalsill.schema import plain as schema_plain

__all__ = ['MAX_DOCUMENT_BYTES', 'DOCUMENT_NAME', 'parse', 'render']

DOCUMENT_NAME = 'configuration'

# A document is sent in one link frame, which is limited to 4 MiB.
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024 - 64 * 1024


def parse(document: bytes, revision: int) -> model.Configuration:
    """Parses the document of a revision.

    Args:
      document: Strict JSON in UTF-8.
      revision: Revision number assigned by the store.

    Raises:
      InvalidDocumentError: If it is not JSON or does not match the model.
    """
    _check_size(document)
    try:
        text = document.decode()
    except UnicodeDecodeError as exc:
        raise _invalid(str(exc), 'UTF-8') from exc
    plain = load.parse_strict(text, DOCUMENT_NAME)
    cfg = check.check(model.Configuration, plain, DOCUMENT_NAME)
    cfg.revision = revision
    return cfg


def render(cfg: model.Configuration) -> bytes:
    """Serializes a configuration without its revision.

    Equal configurations yield identical bytes.

    Raises:
      InvalidDocumentError: If it is too large for a link frame.
    """
    plain = schema_plain.to_plain(cfg)
    del plain['revision']
    document = json.dumps(plain, sort_keys=True, separators=(',', ':')).encode()
    _check_size(document)
    return document


def _check_size(document: bytes) -> None:
    if len(document) > MAX_DOCUMENT_BYTES:
        allowed = f'at most {MAX_DOCUMENT_BYTES} bytes'
        raise _invalid(f'{len(document)} bytes', allowed)


def _invalid(found: str, allowed: str) -> schema_error.InvalidDocumentError:
    invalid_key = schema_error.InvalidKeyError(
        DOCUMENT_NAME, '', found, allowed
    )
    return schema_error.InvalidDocumentError(DOCUMENT_NAME, [invalid_key])
