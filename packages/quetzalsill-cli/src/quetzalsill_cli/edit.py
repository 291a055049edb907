"""Submits edits, with retries until the outcome is known."""

from __future__ import annotations

import asyncio
import dataclasses
import uuid
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from quetzalsill_cli import exchange, failure, router_client

if TYPE_CHECKING:
    from quetzalsill_cli import router_client as client_lib

__all__ = ['Accepted', 'Edit', 'submit']

_MAX_ROUNDS = 3
_PAUSE_STEP_S = 0.5
_UNAVAILABLE_STATUS = 503
_CREDENTIAL_STATUSES = frozenset({401, 403})


@dataclasses.dataclass(slots=True, frozen=True)
class Edit:
    """One edit of the configuration.

    Attributes:
      method: HTTP method.
      path: Path below `/admin/v1`.
      body: JSON data; None for no body.
      expected_revision: Revision that the edit is based on.
      note: Reason, for the history.
      id: Sent with every attempt, so that routers recognize a retry.
    """

    method: str
    path: str
    body: Any
    expected_revision: int
    note: str = ''
    id: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)

    def call(self) -> exchange.Call:
        """Returns the call that submits the edit."""
        headers = [
            ('If-Match', f'"{self.expected_revision}"'),
            ('X-Edit-Id', self.id),
        ]
        if self.note:
            headers.append(('X-Edit-Note', self.note))
        return exchange.Call(self.method, self.path, self.body, tuple(headers))


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """The result of an accepted edit.

    Attributes:
      revision: Revision that the edit created.
      edit: Id of the edit.
      lost_responses: Number of attempts whose outcome was unknown.
      already_accepted: An earlier attempt had been accepted before the last.
    """

    revision: int
    edit: str
    lost_responses: int
    already_accepted: bool


def _attempts(urls: tuple[str, ...]) -> Iterator[tuple[str, float]]:
    """Yields router URLs in turn, each with the pause before the attempt."""
    for round_number in range(_MAX_ROUNDS):
        for index, url in enumerate(urls):
            yield url, _PAUSE_STEP_S * round_number if index == 0 else 0.0


async def submit(client: client_lib.RouterClient, edit: Edit) -> Accepted:
    """Sends an edit until a router reports its outcome.

    Each retry carries the same id and expected revision, so that the routers
    accept the edit once however often it arrives, and a retry after a lost
    response returns the outcome.

    Raises:
      ConflictError: Another edit was accepted first.
      InvalidDocumentError: The edited document would be invalid.
      UnreachableError: No router accepted the edit; it has no effect.
      OutcomeUnknownError: The edit was sent, but no router reported its
        outcome.
    """
    lost: list[str] = []
    unavailable: list[str] = []
    for url, pause_s in _attempts(client.urls):
        await asyncio.sleep(pause_s)
        try:
            resp = await client.send(url, edit.call())
        except exchange.NotSentError as exc:
            unavailable.append(exc.detail)
            continue
        except exchange.ResponseLostError as exc:
            lost.append(exc.detail)
            continue
        if resp.status == _UNAVAILABLE_STATUS:
            unavailable.append(_describe(resp))
        elif _is_outcome_unknown(resp, bool(lost)):
            lost.append(_describe(resp))
        else:
            body = router_client.require_success(resp)
            return Accepted(
                body['revision'], body['edit'], len(lost), body['earlier']
            )
    if lost:
        raise _outcome_unknown_error(edit, lost)
    raise router_client.unreachable_error(list(dict.fromkeys(unavailable)))


def _is_outcome_unknown(resp: exchange.Response, is_retry: bool) -> bool:
    """Whether the edit may have been accepted despite this response.

    An edit may revoke the credential that it is sent with. If its response is
    lost, the retry is refused although the edit was accepted.
    """
    if resp.status in _CREDENTIAL_STATUSES:
        return is_retry
    return resp.status >= 500


def _describe(resp: exchange.Response) -> str:
    reason = failure.from_response(resp.status, resp.body)
    return f'{resp.router}: {reason.message}'


def _outcome_unknown_error(
    edit: Edit, lost: list[str]
) -> failure.OutcomeUnknownError:
    return failure.OutcomeUnknownError(
        '\n'.join(
            [
                f'edit {edit.id} was sent and its outcome is not known:',
                *dict.fromkeys(lost),
            ]
        ),
        f'Look for {edit.id} in `quetzalsill config history` when the store '
        f'answers again: revision {edit.expected_revision + 1} is the only '
        'one that it can have made.',
    )
