"""Authentication of callers by bearer token."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error

if TYPE_CHECKING:
    import blacksheep

    from quetzalsill.config import holder, model

__all__ = ['Authenticator', 'Caller']

SCHEME = 'bearer '
MAX_AUTHORIZATION_CHARS = 512
NO_CONFIGURATION_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class Caller:
    """The authenticated client account of a request."""

    name: str
    account: model.Account


class Authenticator:
    """Looks up accounts by token digest in the active configuration."""

    def __init__(self, holder: holder.Holder) -> None:
        self._holder = holder
        self._revision = -1
        self._by_digest: dict[str, Caller] = {}

    def identify(self, request: blacksheep.Request) -> Caller:
        """Returns the authenticated caller of a request.

        The token is looked up by its digest, so the lookup time reveals
        nothing about existing tokens.

        Raises:
          UnauthorizedError: The token is missing or unknown.
          StoreUnavailableError: No configuration is loaded yet, so no
            account is known.
        """
        if self._holder.revision == 0:
            raise request_error.StoreUnavailableError(
                'this router has no configuration yet',
                retry_after_s=NO_CONFIGURATION_RETRY_AFTER_S,
            )
        header = request.get_first_header(b'authorization') or b''
        text = header.decode('latin-1')
        if (
            not text.lower().startswith(SCHEME)
            or len(text) > MAX_AUTHORIZATION_CHARS
        ):
            raise request_error.UnauthorizedError('no bearer token')
        token = text[len(SCHEME) :].strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
        caller = self._index().get(digest)
        if caller is None:
            raise request_error.UnauthorizedError('unknown bearer token')
        digests = caller.account.token_sha256
        if not any(hmac.compare_digest(digest, item) for item in digests):
            raise request_error.UnauthorizedError('unknown bearer token')
        return caller

    def _index(self) -> dict[str, Caller]:
        """Returns the index of the active configuration."""
        if self._revision != self._holder.revision:
            self._by_digest = {
                digest: Caller(name, account)
                for name, account in self._holder.current.accounts.items()
                for digest in account.token_sha256
            }
            self._revision = self._holder.revision
        return self._by_digest
