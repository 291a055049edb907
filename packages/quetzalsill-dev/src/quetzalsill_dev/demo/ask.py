"""What the Board's people ask for in the demo, and what they got."""

from __future__ import annotations

import dataclasses
import json
import time
import uuid
from typing import TYPE_CHECKING

import httpx2

from quetzalsill_dev import board, caller

if TYPE_CHECKING:
    from quetzalsill_dev import launch

__all__ = ['Ask', 'Asked', 'audit_note', 'loading_plan', 'order', 'send',
           'slot_query']  # fmt: skip

PROFILE_HEADER = 'x-quetzalsill-profile'
KEY_HEADER = 'idempotency-key'
ORDER_PATH = f'/services/{board.SERVICE}/orders'


@dataclasses.dataclass(slots=True)
class Ask:
    """One question.

    Attributes:
      kind: What it is, for the reader.
      account: Client account that asks.
      prompt: Prompt of a generation; empty for an order.
      tokens: Tokens that the whole answer has.
      profile: Profile named in the request; empty for the account's default.
      order: Id of an order; empty for a generation.
    """

    kind: str
    account: str
    prompt: str = ''
    tokens: int = 0
    profile: str = ''
    order: str = ''


@dataclasses.dataclass(slots=True)
class Asked:
    """A question, the router it went to, and the answer so far.

    Attributes:
      ask: The question.
      router: Name of the router.
      answer: The answer; an order's has no tokens.
      fault: Why the answer is not right; empty if it is.
    """

    ask: Ask
    router: str
    answer: caller.Response = dataclasses.field(default_factory=caller.Response)
    fault: str = ''


def loading_plan(depot: str, tokens: int) -> Ask:
    """A depot clerk's route manifest, for a written loading plan."""
    manifest = '\n'.join(
        f'stop {stop}: kiosk {depot}-{stop}, {stop * 7 % 40 + 4} cartons'
        for stop in range(1, 41)
    )
    prompt = f'Loading plan for {depot}. [[tokens={tokens}]]\n{manifest}'
    return Ask('loading plan', 'depot-clerks', prompt, tokens)


def audit_note(freezer: str, tokens: int) -> Ask:
    """A freezer audit note, for a pass or hold verdict."""
    prompt = f'Pass or hold? Freezer {freezer} at -17. [[tokens={tokens}]]'
    return Ask('audit note', 'depot-clerks', prompt, tokens, 'verdict')


def slot_query(shop: str, tokens: int, answered: int = 0) -> Ask:
    """A handset's query; `answered` tokens if the profile cuts it."""
    prompt = f'Delivery slots today for {shop}? [[tokens={tokens}]]'
    return Ask('slot query', 'retailers', prompt, answered or tokens)


def order(shop: str) -> Ask:
    """An order of ice cream, which must not be doubled."""
    return Ask('order', 'retailers', order=f'{shop}-{uuid.uuid4().hex[:8]}')


async def send(asked: Asked, router: launch.Process) -> Asked:
    """Sends the question and reads the answer to its end."""
    token = board.TOKENS[asked.ask.account]
    async with caller.open_client(router.url, token) as client:
        try:
            if asked.ask.order:
                await _send_order(asked, client)
            else:
                await _send_generation(asked, client)
        except httpx2.HTTPError as exc:
            asked.answer.ended = time.monotonic()
            asked.fault = f'{type(exc).__name__}: {exc}'
    asked.fault = asked.fault or _fault(asked)
    return asked


async def _send_generation(asked: Asked, client: httpx2.AsyncClient) -> None:
    profile = asked.ask.profile
    await caller.generate(
        client,
        {'model': board.MODEL, 'prompt': asked.ask.prompt},
        headers={PROFILE_HEADER: profile} if profile else None,
        answer=asked.answer,
    )


async def _send_order(asked: Asked, client: httpx2.AsyncClient) -> None:
    answer = asked.answer
    answer.sent_at = time.monotonic()
    response = await client.post(
        ORDER_PATH,
        json={'id': asked.ask.order, 'cartons': 12},
        headers={KEY_HEADER: asked.ask.order},
    )
    answer.ended = time.monotonic()
    answer.status = response.status_code
    if response.status_code != httpx2.codes.OK:
        answer.error = response.text
    elif json.loads(response.text)['id'] != asked.ask.order:
        answer.error = 'the answer to another order'


def _fault(asked: Asked) -> str:
    """What is wrong with an answer by itself; empty if nothing."""
    answer = asked.answer
    if answer.error or answer.status != httpx2.codes.OK:
        return f'status {answer.status}: {answer.error}'
    if asked.ask.order:
        return ''
    if len(answer.texts) != asked.ask.tokens:
        return f'{len(answer.texts)} tokens of {asked.ask.tokens}'
    return '' if answer.is_complete else 'tokens twice, crossed or missing'
