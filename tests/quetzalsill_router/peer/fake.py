"""A sidecar and its engine in a few lines, for tests of the router's end."""

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
    """A generation; its items name it, so that a splice is seen."""

    generation: int
    total: int
    made: int = 0

    def items(self, first, stop):
        return [f'{self.generation}:{at}'.encode() for at in range(first, stop)]


class Engine:
    """Keeps its work while sidecars come and go."""

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
class Held:
    """An attempt that the sidecar knows."""

    limit: int
    asked_engine: int = -1
    work: Work | None = None
    started: bool = False
    start: int = 0
    sent: int = 0
    terminal: message.Message | None = None
    terminal_sent: bool = False


class FakeSidecar:
    """One incarnation; `put` sends on the newest link."""

    def __init__(self, incarnation, engine):
        self.incarnation = incarnation
        self.engine = engine
        self.held = {}
        self.stones = {}
        self.put = lambda msg: None

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
        for attempt, held in list(self.held.items()):
            if held.asked_engine >= 0 and not held.started:
                self._recover(attempt, held)
            elif not held.started and held.terminal is None:
                held.started = True
                held.work = self.engine.start(attempt)
                self.put(message.Started(attempt, 0))

    def pump(self):
        for attempt, held in self.held.items():
            self._pump(attempt, held)

    def on_dispatch(self, msg):
        held = self.held.get(msg.attempt)
        if held is not None:
            self._rewind(msg.attempt, held, held.start, msg.credit)
        elif msg.attempt in self.stones:
            self.put(self.stones[msg.attempt])
        elif msg.incarnation != self.incarnation:
            self._refuse(msg.attempt, 'superseded')
        else:
            asked_engine = msg.engine if msg.recover else -1
            self.held[msg.attempt] = Held(msg.credit, asked_engine)

    def on_resume(self, msg):
        held = self.held.get(msg.attempt)
        if held is not None:
            self._rewind(msg.attempt, held, msg.seq, msg.credit)
        elif msg.attempt in self.stones:
            self.put(self.stones[msg.attempt])
        else:
            self._refuse(msg.attempt, 'not_found')

    def on_credit(self, msg):
        held = self.held.get(msg.attempt)
        if held is not None:
            held.limit += msg.items
            held.start = max(held.start, min(msg.seq, held.sent))

    def on_withdraw(self, msg):
        held = self.held.get(msg.attempt)
        if held is not None and held.started:
            self.put(message.Running(msg.attempt))
        elif msg.attempt in self.stones:
            self.put(self.stones[msg.attempt])
        else:
            self._bury(message.Withdrawn(msg.attempt))

    def on_cancel(self, msg):
        held = self.held.get(msg.attempt)
        if held is None or held.terminal is not None:
            return
        if held.started:
            held.terminal = message.Failed(
                msg.attempt, 'cancelled', '', 'yes', False
            )
        else:
            self._refuse(msg.attempt, 'cancelled')

    def on_ack(self, msg):
        held = self.held.get(msg.attempt)
        if held is not None and held.terminal is not None:
            self._bury(
                message.Failed(msg.attempt, 'outcome_unknown', '', 'yes', False)
            )

    def _recover(self, attempt, held):
        if attempt in self.engine.work:
            held.started = True
            held.work = self.engine.work[attempt]
            self.put(message.Started(attempt, 0))
        elif held.asked_engine == self.engine.incarnation:
            self._refuse(attempt, 'not_found')
        else:
            self._bury(
                message.Failed(attempt, 'outcome_unknown', '', 'unknown', True)
            )

    def _refuse(self, attempt, code):
        self._bury(message.Refused(attempt, code, '', 0))

    def _bury(self, stone):
        self.held.pop(stone.attempt, None)
        self.stones[stone.attempt] = stone
        self.put(stone)

    def _rewind(self, attempt, held, seq, credit):
        made = held.work.made if held.work else held.sent
        if held.asked_engine >= 0:
            seq, credit = min(seq, made), credit + max(0, seq - made)
        if not held.start <= seq <= made:
            self.put(
                message.Failed(attempt, 'outcome_unknown', '', 'yes', False)
            )
            return
        held.start = max(held.start, min(seq, held.sent))
        held.sent, held.limit = seq, seq + credit
        held.terminal_sent = False
        if held.started:
            self.put(message.Started(attempt, 0))

    def _pump(self, attempt, held):
        work = held.work
        # What the sidecar has read it keeps; the rest goes with the engine.
        lost = attempt not in self.engine.work
        cut = lost and work is not None and work.made < work.total
        if cut and held.terminal is None:
            held.terminal = message.Failed(
                attempt, 'upstream_failed', '', 'yes', True
            )
        stop = min(work.made, held.limit) if work else 0
        if held.sent < stop and not isinstance(held.terminal, message.Failed):
            items = work.items(held.sent, stop)
            self.put(message.Chunk(attempt, held.sent, items))
            held.sent = stop
        if work and held.terminal is None and work.made == work.total:
            held.terminal = message.Finished(attempt, work.total)
        whole = work is not None and held.sent == work.total
        failed = isinstance(held.terminal, message.Failed)
        if held.terminal and not held.terminal_sent and (whole or failed):
            held.terminal_sent = True
            self.put(held.terminal)
