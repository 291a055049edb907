"""Fakes of a sidecar and its engine, for tests of the router's side."""

from __future__ import annotations

import dataclasses
import itertools

from quetzalsill.wire import message

__all__ = ['Engine', 'FakeSidecar', 'dispatch', 'load']

MODEL = 'plan'


def dispatch(attempt='r/1/1', incarnation=1, credit=4, **fields):
    values = {
        'attempt': attempt, 'request': 'req-1', 'incarnation': incarnation,
        'revision': 1, 'fence': 0, 'account': 'depot', 'profile': 'prompt',
        'model': MODEL, 'kind': 'completion', 'method': 'POST', 'path': '',
        'headers': [], 'payload': b'{}', 'body_open': False,
        'idempotent': True, 'remaining_ms': 60_000, 'queue_ms': 60_000,
        'prompt_tokens': 10, 'max_tokens': 10, 'prefix': '',
        'recover': False, 'credit': credit, 'trace': '',
    }  # fmt: skip
    return message.Dispatch(**(values | fields))


def load(engine=1, **fields):
    values = {
        'queued': 0, 'running': 0, 'used_tokens': 0, 'capacity_tokens': 0,
        'expected_wait_ms': 0, 'token_ms': 0.0, 'models': [MODEL],
        'leaving': False, 'healthy': True, 'revision': 1, 'engine': engine,
    }  # fmt: skip
    return message.Load(**(values | fields))


@dataclasses.dataclass(slots=True)
class Work:
    """A generation; items contain its number, so that mixing is detected."""

    generation: int
    total: int
    made: int = 0

    def items(self, first, stop):
        return [f'{self.generation}:{at}'.encode() for at in range(first, stop)]


class Engine:
    """Keeps its work across restarts of the sidecar."""

    def __init__(self, total):
        self.total = total
        self.incarnation = 1
        self.work = {}
        self.runs = []
        self._generations = itertools.count(1)

    def start(self, attempt):
        self.runs.append(attempt)
        self.work[attempt] = Work(next(self._generations), self.total)
        return self.work[attempt]

    def restart(self):
        self.incarnation += 1
        self.work.clear()


@dataclasses.dataclass(slots=True)
class SidecarAttempt:
    """State of an attempt at the sidecar."""

    limit: int
    expected_engine: int = -1
    work: Work | None = None
    started: bool = False
    start: int = 0
    sent: int = 0
    terminal: message.Message | None = None
    terminal_sent: bool = False


class FakeSidecar:
    """One incarnation of a sidecar; `send` uses the latest link."""

    def __init__(self, incarnation, engine):
        self.incarnation = incarnation
        self.engine = engine
        self.attempts = {}
        self.tombstones = {}
        self.send = lambda msg: None

    def welcome(self, upstream='engine-1', leaving=False):
        return message.Welcome(
            message.VERSION, 'host', self.incarnation, upstream, 'dha-hall', 1,
            leaving,
        )  # fmt: skip

    def take(self, msg):
        handler = getattr(self, f'on_{type(msg).__name__.lower()}', None)
        if handler is not None:
            handler(msg)

    def start_queued(self):
        for attempt, state in list(self.attempts.items()):
            if state.expected_engine >= 0 and not state.started:
                self._recover(attempt, state)
            elif not state.started and state.terminal is None:
                state.started = True
                state.work = self.engine.start(attempt)
                self.send(message.Started(attempt, 0))

    def pump(self):
        for attempt, state in self.attempts.items():
            self._pump(attempt, state)

    def on_dispatch(self, msg):
        state = self.attempts.get(msg.attempt)
        if state is not None:
            self._rewind(msg.attempt, state, state.start, msg.credit)
        elif msg.attempt in self.tombstones:
            self.send(self.tombstones[msg.attempt])
        elif msg.incarnation != self.incarnation:
            self._refuse(msg.attempt, 'superseded')
        else:
            expected_engine = msg.engine if msg.recover else -1
            self.attempts[msg.attempt] = SidecarAttempt(
                msg.credit, expected_engine
            )

    def on_resume(self, msg):
        state = self.attempts.get(msg.attempt)
        if state is not None:
            self._rewind(msg.attempt, state, msg.seq, msg.credit)
        elif msg.attempt in self.tombstones:
            self.send(self.tombstones[msg.attempt])
        else:
            self._refuse(msg.attempt, 'not_found')

    def on_credit(self, msg):
        state = self.attempts.get(msg.attempt)
        if state is not None:
            state.limit += msg.items
            state.start = max(state.start, min(msg.seq, state.sent))

    def on_withdraw(self, msg):
        state = self.attempts.get(msg.attempt)
        if state is not None and state.started:
            self.send(message.Running(msg.attempt))
        elif msg.attempt in self.tombstones:
            self.send(self.tombstones[msg.attempt])
        else:
            self._end_attempt(message.Withdrawn(msg.attempt))

    def on_cancel(self, msg):
        state = self.attempts.get(msg.attempt)
        if state is None or state.terminal is not None:
            return
        if state.started:
            state.terminal = message.Failed(
                msg.attempt, 'cancelled', '', 'yes', False
            )
        else:
            self._refuse(msg.attempt, 'cancelled')

    def on_ack(self, msg):
        state = self.attempts.get(msg.attempt)
        if state is not None and state.terminal is not None:
            self._end_attempt(
                message.Failed(msg.attempt, 'outcome_unknown', '', 'yes', False)
            )

    def _recover(self, attempt, state):
        if attempt in self.engine.work:
            state.started = True
            state.work = self.engine.work[attempt]
            self.send(message.Started(attempt, 0))
        elif state.expected_engine == self.engine.incarnation:
            self._refuse(attempt, 'not_found')
        else:
            self._end_attempt(
                message.Failed(attempt, 'outcome_unknown', '', 'unknown', True)
            )

    def _refuse(self, attempt, code):
        self._end_attempt(message.Refused(attempt, code, '', 0))

    def _end_attempt(self, tombstone):
        self.attempts.pop(tombstone.attempt, None)
        self.tombstones[tombstone.attempt] = tombstone
        self.send(tombstone)

    def _rewind(self, attempt, state, seq, credit):
        made = state.work.made if state.work else state.sent
        if state.expected_engine >= 0:
            seq, credit = min(seq, made), credit + max(0, seq - made)
        if not state.start <= seq <= made:
            self.send(
                message.Failed(attempt, 'outcome_unknown', '', 'yes', False)
            )
            return
        state.start = max(state.start, min(seq, state.sent))
        state.sent, state.limit = seq, seq + credit
        state.terminal_sent = False
        if state.started:
            self.send(message.Started(attempt, 0))

    def _pump(self, attempt, state):
        work = state.work
        # The sidecar keeps the items it has read; the others are lost with
        # the engine.
        lost = attempt not in self.engine.work
        cut = lost and work is not None and work.made < work.total
        if cut and state.terminal is None:
            state.terminal = message.Failed(
                attempt, 'upstream_failed', '', 'yes', True
            )
        stop = min(work.made, state.limit) if work else 0
        if state.sent < stop and not isinstance(state.terminal, message.Failed):
            items = work.items(state.sent, stop)
            self.send(message.Chunk(attempt, state.sent, items))
            state.sent = stop
        if work and state.terminal is None and work.made == work.total:
            state.terminal = message.Finished(attempt, work.total)
        whole = work is not None and state.sent == work.total
        failed = isinstance(state.terminal, message.Failed)
        if state.terminal and not state.terminal_sent and (whole or failed):
            state.terminal_sent = True
            self.send(state.terminal)
