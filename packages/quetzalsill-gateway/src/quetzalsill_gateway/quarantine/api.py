"""Lets operators list what is in quarantine and lift a quarantine."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from quetzalsill_gateway.quarantine import trait

if TYPE_CHECKING:
    from quetzalsill_gateway.http import message
    from quetzalsill_gateway.http import responder as responder_lib
    from quetzalsill_gateway.quarantine import quarantine as quarantine_lib
    from quetzalsill_gateway.quarantine import table

__all__ = ['PATH', 'handle']

PATH = b'/quarantine'
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405


def handle(
    quarantine: quarantine_lib.Quarantine,
    req: message.Request,
    responder: responder_lib.Responder,
) -> None:
    """Responds to `GET /quarantine` and `DELETE /quarantine/FINGERPRINT`.

    Args:
      quarantine: Quarantine of this gateway; the others follow it.
      req: A request whose path begins with `PATH`.
      responder: Writes the response.
    """
    text = req.path.removeprefix(PATH).strip(b'/')
    if req.method == b'GET' and not text:
        now = asyncio.get_running_loop().time()
        entries = [_describe(entry, now) for entry in quarantine.entries]
        _reply(responder, OK, {'requests': entries})
        return
    if req.method != b'DELETE':
        _fail(responder, METHOD_NOT_ALLOWED, 'method', 'Use GET or DELETE.')
        return
    try:
        fingerprint = bytes.fromhex(text.decode('ascii'))
    except ValueError:
        advice = 'Give the hexadecimal fingerprint that GET /quarantine lists.'
        _fail(responder, BAD_REQUEST, 'fingerprint', advice)
        return
    if quarantine.lift(fingerprint):
        _reply(responder, OK, {'lifted': fingerprint.hex()})
        return
    advice = 'No such request is in quarantine; list them by GET /quarantine.'
    _fail(responder, NOT_FOUND, 'fingerprint', advice)


def _describe(entry: table.Entry, now: float) -> dict[str, object]:
    return {
        'fingerprint': entry.fingerprint.hex(),
        'kind': trait.kind_of(entry.fingerprint),
        'trait': trait.value_of(entry.fingerprint),
        'together_with': [trait.describe([one]) for one in entry.companions],
        'label': entry.label,
        'upstreams': list(entry.upstreams),
        'since_s': round(now - entry.since_s, 1),
        'probe_in_s': round(max(0.0, entry.until_s - now), 1),
        'failed_probes': entry.failed_probes,
    }


def _fail(
    responder: responder_lib.Responder, status: int, field: str, advice: str
) -> None:
    _reply(responder, status, {'field': field, 'advice': advice})


def _reply(
    responder: responder_lib.Responder, status: int, body: dict[str, object]
) -> None:
    headers = [(b'content-type', b'application/json')]
    responder.reply(status, headers, json.dumps(body).encode() + b'\n')
