"""Requests of the demo and their answers."""

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

__all__ = ['Request', 'SentRequest', 'audit_note', 'loading_plan', 'order',
           'send', 'slot_query']  # fmt: skip

PROFILE_HEADER = 'x-quetzalsill-profile'
KEY_HEADER = 'idempotency-key'
ORDER_PATH = f'/services/{board.SERVICE}/orders'


@dataclasses.dataclass(slots=True)
class Request:
    """One request.

    Attributes:
      kind: Kind of request, as printed.
      account: Client account that sends it.
      prompt: Prompt of a generation; empty for an order.
      tokens: Number of tokens of the complete answer.
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
class SentRequest:
    """A request, the router it was sent to, and the answer so far.

    Attributes:
      request: The request.
      router: Name of the router.
      answer: The answer; has no tokens for an order.
      failure: Why the answer is wrong; empty if it is correct.
    """

    request: Request
    router: str
    answer: caller.Response = dataclasses.field(default_factory=caller.Response)
    failure: str = ''


def loading_plan(depot: str, tokens: int) -> Request:
    """Returns a request for a loading plan, with a long route manifest."""
    manifest = '\n'.join(
        f'stop {stop}: kiosk {depot}-{stop}, {stop * 7 % 40 + 4} cartons'
        for stop in range(1, 41)
    )
    prompt = f'Loading plan for {depot}. [[tokens={tokens}]]\n{manifest}'
    return Request('loading plan', 'depot-clerks', prompt, tokens)


def audit_note(freezer: str, tokens: int) -> Request:
    """Returns a request for a verdict on a freezer audit note."""
    prompt = f'Pass or hold? Freezer {freezer} at -17. [[tokens={tokens}]]'
    return Request('audit note', 'depot-clerks', prompt, tokens, 'verdict')


def slot_query(shop: str, tokens: int, limit: int = 0) -> Request:
    """Returns a short query; `limit` is the profile's output limit, if any."""
    prompt = f'Delivery slots today for {shop}? [[tokens={tokens}]]'
    return Request('slot query', 'retailers', prompt, limit or tokens)


def order(shop: str) -> Request:
    """Returns an order, which must not be executed twice."""
    return Request('order', 'retailers', order=f'{shop}-{uuid.uuid4().hex[:8]}')


async def send(sent: SentRequest, router: launch.Process) -> SentRequest:
    """Sends the request and reads the answer to its end."""
    token = board.TOKENS[sent.request.account]
    async with caller.open_client(router.url, token) as client:
        try:
            if sent.request.order:
                await _send_order(sent, client)
            else:
                await _send_generation(sent, client)
        except httpx2.HTTPError as exc:
            sent.answer.ended = time.monotonic()
            sent.failure = f'{type(exc).__name__}: {exc}'
    sent.failure = sent.failure or _find_failure(sent)
    return sent


async def _send_generation(
    sent: SentRequest, client: httpx2.AsyncClient
) -> None:
    profile = sent.request.profile
    await caller.generate(
        client,
        {'model': board.MODEL, 'prompt': sent.request.prompt},
        headers={PROFILE_HEADER: profile} if profile else None,
        answer=sent.answer,
    )


async def _send_order(sent: SentRequest, client: httpx2.AsyncClient) -> None:
    answer = sent.answer
    answer.sent_at = time.monotonic()
    response = await client.post(
        ORDER_PATH,
        json={'id': sent.request.order, 'cartons': 12},
        headers={KEY_HEADER: sent.request.order},
    )
    answer.ended = time.monotonic()
    answer.status = response.status_code
    if response.status_code != httpx2.codes.OK:
        answer.error = response.text
    elif json.loads(response.text)['id'] != sent.request.order:
        answer.error = 'the answer belongs to another order'


def _find_failure(sent: SentRequest) -> str:
    """Checks an answer on its own; returns an empty text if it is correct."""
    answer = sent.answer
    if answer.error or answer.status != httpx2.codes.OK:
        return f'status {answer.status}: {answer.error}'
    if sent.request.order:
        return ''
    if len(answer.texts) != sent.request.tokens:
        return f'{len(answer.texts)} tokens of {sent.request.tokens}'
    return (
        ''
        if answer.is_complete
        else 'tokens duplicated, out of order or missing'
    )
