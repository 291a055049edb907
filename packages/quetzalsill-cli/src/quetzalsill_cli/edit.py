"""Sends an edit until its outcome is known."""

from __future__ import annotations

import asyncio
import dataclasses
import uuid
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from quetzalsill_cli import exchange, failure, routers

if TYPE_CHECKING:
    from quetzalsill_cli import routers as cli_routers

__all__ = ['Accepted', 'Edit', 'submit']

_ROUNDS = 3
_PAUSE_S = 0.5
_UNAVAILABLE = 503
_CREDENTIAL = frozenset({401, 403})


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
    expected: int
    note: str = ''
    id: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)

    def call(self) -> exchange.Call:
        """Makes the call that carries the edit."""
        headers = [
            ('If-Match', f'"{self.expected}"'),
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
    lost: int
    earlier: bool


def _tries(urls: tuple[str, ...]) -> Iterator[tuple[str, float]]:
    """Yields the routers in turn, each with the pause before it."""
    for number in range(_ROUNDS):
        for index, url in enumerate(urls):
            yield url, _PAUSE_S * number if index == 0 else 0.0


async def submit(links: cli_routers.Routers, edit: Edit) -> Accepted:
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
    refused: list[str] = []
    for url, pause_s in _tries(links.urls):
        await asyncio.sleep(pause_s)
        try:
            answer = await links.ask(url, edit.call())
        except exchange.NotSentError as exc:
            refused.append(exc.detail)
            continue
        except exchange.AnswerLostError as exc:
            lost.append(exc.detail)
            continue
        if answer.status == _UNAVAILABLE:
            refused.append(_line(answer))
        elif _undecided(answer, bool(lost)):
            lost.append(_line(answer))
        else:
            body = routers.accepted(answer)
            return Accepted(
                body['revision'], body['edit'], len(lost), body['earlier']
            )
    if lost:
        raise _unknown(edit, lost)
    raise routers.unreachable(list(dict.fromkeys(refused)))


def _undecided(answer: exchange.Answer, repeated: bool) -> bool:
    """Tells whether the edit may have been accepted despite the answer.

    An edit may take away the credential that it was made with. If its answer
    is lost, the repetition is refused although the edit is in force.
    """
    if answer.status in _CREDENTIAL:
        return repeated
    return answer.status >= 500


def _line(answer: exchange.Answer) -> str:
    reason = failure.from_answer(answer.status, answer.body)
    return f'{answer.router}: {reason.message}'


def _unknown(edit: Edit, lost: list[str]) -> failure.OutcomeUnknownError:
    return failure.OutcomeUnknownError(
        '\n'.join(
            [
                f'edit {edit.id} was sent and its outcome is not known:',
                *dict.fromkeys(lost),
            ]
        ),
        f'Look for {edit.id} in `quetzalsill config history` when the store '
        f'answers again: revision {edit.expected + 1} is the only one that '
        'it can have made.',
    )
