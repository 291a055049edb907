"""Stand-in of the platform's HTTP servers, with scripted faults."""

from __future__ import annotations

import asyncio
from typing import Any

from quetzalsill_dev.users_platform import pause as pause_lib
from quetzalsill_dev.users_platform import scripted

__all__ = ['HttpServer']

PREFIX = 'x-quetzalsill-'


class HttpServer:
    """Responds as the next script specifies, or correctly without a script.

    Scripts: `ok`, `fail` (a 500 of its own), `shed` (503, not executed),
    `moved` (421), `false_503` (executed, but responds 503 without a
    not-executed header), `reset` (executed, no response), `truncate`,
    `garbage`, `extra` (a second response after the first), `stale` (the
    response of another request first), `unframed` (no length; the end of the
    connection ends the body), `no_receipt`, `hang`, `early` (responds and keeps
    the connection).

    Attributes:
      id: Id of this incarnation.
      scripts: Scripts for the next requests.
      runs: Executed requests: id, target, headers and body.
      crash_target: A request with this target crashes it before it responds;
        None for none.
      limit: Value of the header in which it names a limit; empty for none.
      leaving: Value of the header in which it says that it leaves; empty for
        none.
      retry_after: Value of the header in which it asks for a pause, in its 503
        responses. While it is set, requests without a script are shed.
      work_s: Time that a request takes, in seconds.
      arrivals: Loop times at which requests arrived, with their ids.
      pauses: Pauses that it has asked for.
      large_body: Body of its answers to targets that end in `large`.
    """

    def __init__(self, name: str) -> None:
        self.server = scripted.ScriptedServer(self._handle)
        self.id = name
        self.scripts: list[str] = []
        self.runs: list[tuple[str, str, dict[str, str], bytes]] = []
        self.limit = ''
        self.leaving = ''
        self.retry_after = ''
        self.work_s = 0.0
        self.crash_target: str | None = None
        self.large_body = b''
        self._crash: asyncio.Task[None] | None = None
        self.arrivals: list[tuple[float, str]] = []
        self.pauses: list[pause_lib.Pause] = []

    async def start(self, port: int = 0) -> None:
        """Starts to accept connections on a port; 0 for any."""
        await self.server.start(port)

    def entry(
        self, service: str, zone: str, state: str = 'ready'
    ) -> dict[str, Any]:
        """Returns its row for the table of servers."""
        return {
            'service': service,
            'address': self.server.address_text,
            'zone': zone,
            'slots': 6,
            'state': state,
        }

    async def _handle(self, call: scripted.Exchange) -> None:
        default = 'shed' if self.retry_after else 'ok'
        script = self.scripts.pop(0) if self.scripts else default
        request_id = call.headers.get(PREFIX + 'attempt-id', '')
        now = asyncio.get_running_loop().time()
        self.arrivals.append((now, request_id))
        echo = {PREFIX + 'attempt-id': request_id}
        if self.limit:
            echo['server-limit'] = self.limit
        if self.leaving:
            echo['server-leaving'] = self.leaving
        expected = call.headers.get(PREFIX + 'expect-instance')
        if script == 'moved' or expected != self.id:
            call.respond(
                421, headers=echo | {PREFIX + 'instance-id': 'another'}
            )
            return
        if script == 'shed':
            not_executed = {PREFIX + 'not-executed': '1'}
            pause = self._ask_for_pause(request_id)
            call.respond(503, headers=echo | not_executed | pause)
            return
        if self.work_s:
            await asyncio.sleep(self.work_s)
        self.runs.append((request_id, call.target, call.headers, call.body))
        if call.target == self.crash_target:
            self._crash = asyncio.create_task(self.server.stop())
            await asyncio.shield(self._crash)
            return
        receipt = echo | {PREFIX + 'server-stamp': f'{self.id}.{request_id}'}
        if self.large_body and call.target.endswith('large'):
            call.respond(200, self.large_body, receipt)
            return
        await self._respond(call, script, receipt, f'{self.id}:{request_id}')

    def _ask_for_pause(self, request_id: str) -> dict[str, str]:
        if not self.retry_after:
            return {}
        now = asyncio.get_running_loop().time()
        self.pauses.append(
            pause_lib.Pause(self.id, now, request_id, float(self.retry_after))
        )
        return {'retry-after': self.retry_after}

    async def _respond(
        self,
        call: scripted.Exchange,
        script: str,
        receipt: dict[str, str],
        text: str,
    ) -> None:
        body = text.encode()
        match script:
            case 'fail':
                call.respond(500, body, receipt)
            case 'false_503':
                request_id = receipt[PREFIX + 'attempt-id']
                pause = self._ask_for_pause(request_id)
                call.respond(503, body, receipt | pause)
            case 'no_receipt':
                name = PREFIX + 'attempt-id'
                call.respond(200, body, {name: receipt[name]})
            case 'reset':
                call.abort()
            case 'hang':
                await asyncio.Event().wait()
            case 'truncate':
                call.send_head(
                    200, receipt | {'Content-Length': str(len(body) + 9)}
                )
                call.writer.write(body)
                await call.writer.drain()
                call.writer.close()
            case 'garbage':
                call.writer.write(b'\x16\x03\x01 this is no answer\r\n\r\n')
            case 'unframed':
                call.send_head(200, receipt | {'Connection': 'close'})
                call.writer.write(body)
                await call.writer.drain()
                call.writer.close()
            case 'extra':
                call.respond(200, body, receipt)
                other = receipt | {PREFIX + 'attempt-id': 'another'}
                call.respond(200, b'not yours', other)
            case 'stale':
                other = receipt | {PREFIX + 'attempt-id': 'another'}
                call.respond(200, b'not yours', other)
                call.respond(200, body, receipt)
            case _:
                call.respond(200, body, receipt)
