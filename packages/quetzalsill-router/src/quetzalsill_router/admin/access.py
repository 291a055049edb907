"""Authenticates operators and checks their roles."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import hmac
from typing import TYPE_CHECKING

from quetzalsill.error import request as request_error
from quetzalsill_router.admin import error

if TYPE_CHECKING:
    from collections.abc import Iterator

    import blacksheep

    from quetzalsill_router.admin import context as admin_context

__all__ = ['BOOTSTRAP', 'Operator', 'Role', 'authenticate', 'require_role']

BOOTSTRAP = 'bootstrap'
_SCHEME = b'bearer '
_ADVICE = 'Send the operator token as "Authorization: Bearer TOKEN".'


class Role(enum.StrEnum):
    """Permissions of an operator; viewers only read."""

    VIEWER = 'viewer'
    OPERATOR = 'operator'


@dataclasses.dataclass(slots=True, frozen=True)
class Operator:
    """The authenticated caller of the administration API.

    Attributes:
      name: Name in the configuration, or `bootstrap`.
      role: Granted role.
    """

    name: str
    role: Role


def _bearer_token(req: blacksheep.Request) -> bytes:
    header = req.get_first_header(b'authorization') or b''
    if header[: len(_SCHEME)].lower() != _SCHEME:
        raise request_error.UnauthorizedError('no bearer token', advice=_ADVICE)
    return header[len(_SCHEME) :].strip()


def _accepted_digests(
    context: admin_context.AdminContext,
) -> Iterator[tuple[str, Operator]]:
    """Yields each accepted token digest with its operator."""
    if context.bootstrap_sha256:
        yield context.bootstrap_sha256, Operator(BOOTSTRAP, Role.OPERATOR)
    for name, entry in context.holder.current.operators.items():
        yield entry.token_sha256, Operator(name, Role(entry.role))


def authenticate(
    context: admin_context.AdminContext, req: blacksheep.Request
) -> Operator:
    """Returns the operator whose token the request carries.

    Compares every digest in constant time and does not stop at a match, so
    that the response time reveals nothing about the digests.

    Raises:
      UnauthorizedError: The token is missing or unknown.
      NotReadyError: This router has no configuration yet, so it knows no
        operators.
    """
    digest = hashlib.sha256(_bearer_token(req)).hexdigest()
    found = None
    for accepted_digest, operator in _accepted_digests(context):
        if hmac.compare_digest(accepted_digest, digest):
            found = operator
    if found is None and not context.holder.revision:
        raise error.NotReadyError('no configuration in force here yet')
    if found is None:
        raise request_error.UnauthorizedError(
            'unknown operator token', advice=_ADVICE
        )
    return found


def require_role(operator: Operator, role: Role) -> None:
    """Raises `ForbiddenError` unless the operator has the role."""
    if role is Role.OPERATOR and operator.role is not Role.OPERATOR:
        raise request_error.ForbiddenError(
            f'{operator.name} has role {operator.role}; the call needs {role}'
        )
