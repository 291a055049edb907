"""Sends an edit until its outcome is known."""

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
      body: JSON data; None if the path says it all.
      expected: Revision that the edit was made from.
      note: Why, for the history.
      id: The same in every repetition, by which a router knows it again.
    """

    method: str
    path: str
    body: Any
    expected_revision: int
    note: str = ''
    id: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)

    def call(self) -> exchange.Call:
        """Makes the call that carries the edit."""
        headers = [
            ('If-Match', f'"{self.expected_revision}"'),
            ('X-Edit-Id', self.id),
        ]
        if self.note:
            headers.append(('X-Edit-Note', self.note))
        return exchange.Call(self.method, self.path, self.body, tuple(headers))


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """An edit that is accepted.

    Attributes:
      revision: Revision that it made.
      edit: Id of the edit.
      lost: Answers that were lost before the outcome was known.
      earlier: It had been accepted before the last repetition.
    """

    revision: int
    edit: str
    lost_responses: int
    already_accepted: bool


def _attempts(urls: tuple[str, ...]) -> Iterator[tuple[str, float]]:
    """Yields the routers in turn, each with the pause before it."""
    for round_number in range(_MAX_ROUNDS):
        for index, url in enumerate(urls):
            yield url, _PAUSE_STEP_S * round_number if index == 0 else 0.0


async def submit(client: client_lib.RouterClient, edit: Edit) -> Accepted:
    """Sends an edit until a router tells its outcome.

    A repetition carries the same id and the same expected revision, so that
    the routers accept the edit once however often it arrives, and a lost
    answer is settled by asking again.

    Raises:
      ConflictError: Another edit was first.
      InvalidDocumentError: The document would not pass the check.
      UnreachableError: No router took the edit; it did not take effect.
      OutcomeUnknownError: It was sent, and no router tells its outcome.
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
    """Tells whether the edit may have been accepted despite the answer.

    An edit may take away the credential that it was made with. If its answer
    is lost, the repetition is refused although the edit is in force.
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
