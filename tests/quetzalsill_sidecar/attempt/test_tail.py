"""The unacknowledged tail under any order of credit, loss and resume."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import stateful, strategies

from quetzalsill_sidecar.attempt import tail

COUNTS = strategies.integers(0, 20)


class TailMachine(stateful.RuleBasedStateMachine):
    """A router that loses links, against the real tail."""

    def __init__(self):
        super().__init__()
        self.tail = tail.Tail('entry-1/7/1', 5, 1 << 20)
        self.made = 0
        self.received: list[bytes] = []
        self.limit = 5

    @stateful.rule(count=COUNTS)
    def engine_makes(self, count):
        items = [b'%d' % (self.made + i) for i in range(count)]
        self.made += count
        self.tail.append(items)

    @stateful.rule()
    def link_delivers(self):
        self.tail.send(self.take)

    @stateful.rule()
    def link_loses(self):
        self.tail.send(lambda chunk: None)
        self.resume(3)

    @stateful.rule(count=COUNTS)
    def router_grants(self, count):
        self.limit += count
        self.tail.grant(len(self.received), count)

    @stateful.rule(credit=COUNTS)
    def resume(self, credit):
        self.limit = len(self.received) + credit
        assert self.tail.rewind(len(self.received), credit)

    def take(self, chunk):
        assert chunk.seq == len(self.received)
        self.received += chunk.items

    @stateful.invariant()
    def nothing_is_lost_doubled_or_sent_without_credit(self):
        expected = [b'%d' % i for i in range(len(self.received))]
        assert self.received == expected
        assert len(self.received) <= max(self.limit, 5)

    def teardown(self):
        self.resume(self.made)
        self.link_delivers()
        assert len(self.received) == self.made


TailMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None
)
TailTest = TailMachine.TestCase

if __name__ == '__main__':
    unittest.main()
