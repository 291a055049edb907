"""Probes of quarantined requests, and what gateways tell each other."""

from __future__ import annotations

import types
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalsill_gateway import error
from quetzalsill_gateway.fleet import members, upstream
from quetzalsill_gateway.peers import frame, quarantine_codec, update_codec
from quetzalsill_gateway.quarantine import (
    evidence,
    fingerprint,
    in_flight,
    quarantine,
    table,
    trait,
)
from quetzalsill_gateway.quarantine import update as update_lib

NAMES = [f'entry-{n}' for n in range(5)]
BAD = fingerprint.compute(
    b'POST', b'shop.example', b'/plan/1', b'first', [b'x']
)
FIRST, PART = (bytes([1]).ljust(trait.LENGTH, one) for one in (b'f', b'p'))
TIMES = st.floats(0, 1e6)
TEXTS = st.text(max_size=20)
PRINTS = st.binary(min_size=fingerprint.LENGTH, max_size=fingerprint.LENGTH)
UPDATES = st.builds(
    update_lib.QuarantineUpdate,
    st.lists(
        st.builds(
            evidence.Crash,
            TEXTS,
            TEXTS,
            TIMES,
            st.dictionaries(PRINTS, TIMES, max_size=4).map(
                lambda found: {
                    one: evidence.Suspect(one, exposure_s)
                    for one, exposure_s in found.items()
                }
            ),
        ),
        max_size=3,
    ).map(tuple),
    st.lists(st.tuples(TEXTS, TIMES), max_size=3).map(tuple),
    st.lists(st.tuples(PRINTS, TIMES), max_size=3).map(tuple),
    st.lists(
        st.builds(
            table.Entry,
            PRINTS,
            st.integers(0, 1000),
            st.booleans(),
            TIMES,
            st.floats(1e6, 2e6),
            st.integers(0, 5),
            st.none() | TIMES,
            TEXTS,
            st.lists(TEXTS, max_size=3).map(tuple),
            TEXTS,
        ),
        max_size=3,
    ).map(tuple),
)


class Clock:
    """A loop time that tests set."""

    def __init__(self, now):
        self.now = now

    def time(self):
        return self.now

    def call_later(self, delay_s, callback):
        """Calls back at once: all reports have arrived in these tests."""
        callback()


def exchange(found=BAD):
    """Returns a request that has not been sent."""
    return types.SimpleNamespace(
        fingerprint=found,
        traits=(found,),
        is_probe=False,
        sends=0,
    )


class ProbeTestCase(unittest.TestCase):
    """Five gateways that receive each other's updates at once."""

    def setUp(self):
        self.clock = Clock(1000.0)
        patched = mock.patch(
            'asyncio.get_running_loop', return_value=self.clock
        )
        patched.start()
        self.addCleanup(patched.stop)
        self.fleet = [self.gateway(name) for name in NAMES]
        self.crashes = 0

    def gateway(self, name):
        known = members.Members(name)
        known.add_listed(NAMES, 1e9)
        found = quarantine.Quarantine(
            known, upstream.Upstreams(), in_flight.InFlight()
        )
        found.set_announcer(lambda update: self.deliver(found, update))
        return found

    def deliver(self, sender, update):
        for one in self.fleet:
            if one is not sender:
                one.receive(update)

    def crash(self, gateway):
        self.crashes += 1
        suspect = evidence.Suspect(BAD, 0.1, 'plan first /plan/1')
        gateway.record_crash(
            evidence.Crash(
                str(self.crashes), 'writers', self.clock.now, {BAD: suspect}
            )
        )

    def quarantine(self):
        for number in range(3):
            self.clock.now += 1.0
            self.crash(self.fleet[number])

    def ask_all(self):
        """Sends the request to every gateway; returns which let it through."""
        return [one for one in self.fleet if one.admit(exchange()) is None]


class ProbeTest(ProbeTestCase):
    """A request that is refused, and let through from time to time."""

    def test_three_gateways_that_saw_one_crash_each_find_it(self):
        self.quarantine()
        self.assertEqual(self.ask_all(), [])
        [entry] = self.fleet[4].entries
        self.assertEqual(entry.upstreams, ('1', '2', '3'))

    def test_few_probes_are_made_and_ever_fewer(self):
        """Callers repeat the request for a day; it is never fixed."""
        self.quarantine()
        probes = 0
        while self.clock.now < 1000 + 86_400:
            self.clock.now += 5.0
            through = self.ask_all()
            self.assertLessEqual(len(through), 1)
            probes += len(through)
            for gateway in through:
                self.clock.now += 0.1
                self.crash(gateway)
        self.assertEqual(probes, 3)

    def test_a_probe_that_is_answered_lifts_it(self):
        self.quarantine()
        while not (through := self.ask_all()):
            self.clock.now += 5.0
        self.assertEqual(self.ask_all(), [])
        self.clock.now += 1.0
        through[0].record_completion(exchange())
        self.assertEqual(len(self.ask_all()), len(self.fleet))

    def test_a_probe_is_sent_once(self):
        self.quarantine()
        self.clock.now += table.HOLD_S[0]
        requests = [exchange() for _ in self.fleet]
        while all(
            gateway.admit(req) is not None
            for gateway, req in zip(self.fleet, requests, strict=True)
        ):
            self.clock.now += 5.0
        probe = next(req for req in requests if req.is_probe)
        self.assertFalse(self.fleet[0].rejects(probe))
        probe.sends = 1
        self.assertTrue(self.fleet[0].rejects(probe))

    def test_an_answer_is_announced_once(self):
        """Each answer to a hot key was sent to all gateways for minutes."""
        self.crash(self.fleet[0])
        sent = []
        self.fleet[0].set_announcer(sent.append)
        for _ in range(3):
            self.clock.now += 1.0
            self.fleet[0].record_completion(exchange())
        self.assertEqual(len(sent), 1)

    def test_a_late_report_does_not_bring_it_back(self):
        """A report of a crash arrives after the request was answered."""
        self.quarantine()
        self.clock.now += 1.0
        self.fleet[0].lift(BAD)
        late = evidence.Crash(
            '9', 'writers', 1002.5, {BAD: evidence.Suspect(BAD, 0.1)}
        )
        for one in self.fleet:
            one.receive(update_lib.QuarantineUpdate(crashes=(late,)))
        self.assertEqual(len(self.ask_all()), len(self.fleet))

    def test_the_request_that_explains_more_frees_the_other(self):
        """A neighbour was found first, as its gateway's reports came first."""
        other = b'n' * fingerprint.LENGTH
        for number in range(4):
            self.clock.now += 1.0
            both = {BAD: evidence.Suspect(BAD, 0.3)}
            if number < 3:
                both[other] = evidence.Suspect(other, 0.1)
            self.fleet[0].record_crash(
                evidence.Crash(f'b{number}', 'writers', self.clock.now, both)
            )
        for number in range(3):
            self.clock.now += 1.0
            self.crash(self.fleet[number])
        active = [one.fingerprint for one in self.fleet[1].entries]
        self.assertEqual(active, [BAD])


class SharedPartTest(ProbeTestCase):
    """Different requests with one part, and what gateways conclude."""

    def crash_with(self, gateway, *parts):
        self.crashes += 1
        own = self.crashes.to_bytes(fingerprint.LENGTH)
        suspect = evidence.Suspect(own, 0.06, 'plan', frozenset(parts))
        gateway.record_crash(
            evidence.Crash(
                str(self.crashes), 'writers', self.clock.now, {own: suspect}
            )
        )

    def send(self, *parts):
        """Returns the gateways that let a new request with parts through."""
        req = exchange(b'q' * fingerprint.LENGTH)
        req.traits = (req.fingerprint, *parts)
        return [one for one in self.fleet if one.admit(req) is None]

    def test_a_sound_part_that_came_with_it_is_not_refused(self):
        """Nobody has seen the sound one without it since the crashes."""
        for number in range(3):
            self.clock.now += 1.0
            self.crash_with(self.fleet[number], FIRST, PART)
        self.assertEqual(self.send(FIRST, PART), [])
        self.assertEqual(len(self.send(FIRST)), len(self.fleet))
        self.clock.now += 1.0
        sound = exchange(b's' * fingerprint.LENGTH)
        sound.traits = (sound.fingerprint, FIRST)
        self.fleet[0].record_completion(sound)
        self.assertEqual(self.send(PART), [])
        self.assertEqual(len(self.send(FIRST)), len(self.fleet))

    def test_two_parts_are_both_found(self):
        for number in range(6):
            self.clock.now += 1.0
            self.crash_with(self.fleet[0], (PART, FIRST)[number % 2])
        self.assertEqual((self.send(PART), self.send(FIRST)), ([], []))

    def test_what_was_sound_before_is_sent_by_who_saw_the_crash(self):
        """Each of many gateways sent it to all others at each crash."""
        sound = exchange(b's' * fingerprint.LENGTH)
        sound.traits = (sound.fingerprint, FIRST)
        sound.request = types.SimpleNamespace(body=b'')
        seen_by, informed = self.fleet[:2]
        sent = []
        for gateway in (seen_by, informed):
            gateway.record_completion(sound)
            gateway.set_announcer(sent.append)
        self.clock.now += 1.0
        self.crash_with(seen_by, FIRST, PART)
        self.assertIn(FIRST, [n for u in sent for n, _ in u.completed])
        crashes = [one for update in sent for one in update.crashes]
        sent.clear()
        informed.receive(update_lib.QuarantineUpdate(crashes=tuple(crashes)))
        self.assertEqual(sent, [])

    def test_an_operator_lifts_parts_that_are_refused_together(self):
        for number in range(3):
            self.clock.now += 1.0
            self.crash_with(self.fleet[number], FIRST, PART)
        [entry] = self.fleet[1].entries
        self.assertTrue(self.fleet[1].lift(entry.fingerprint))
        self.assertEqual(len(self.send(FIRST, PART)), len(self.fleet))

    def test_a_gateway_that_starts_knows_it(self):
        for number in range(3):
            self.clock.now += 1.0
            self.crash_with(self.fleet[number], FIRST, PART)
        started = self.gateway('entry-5')
        for update in self.fleet[2].snapshot():
            data = update_codec.encode('entry-2', update)
            started.receive(update_codec.decode(*frame.unpack(data))[1])
        self.fleet = [started]
        self.assertEqual(self.send(FIRST, PART), [])
        self.assertEqual(self.send(FIRST), [started])


class CodecTest(unittest.TestCase):
    """Datagrams between gateways whose clocks differ."""

    @settings(derandomize=True, deadline=None)
    @given(UPDATES)
    def test_round_trip(self, update):
        with mock.patch('asyncio.get_running_loop', return_value=Clock(1e6)):
            data = update_codec.encode('entry-1', update)
            _, decoded = update_codec.decode(*frame.unpack(data))
        self.assertEqual(decoded.sender, 'entry-1')
        self.assertEqual(
            [one.fingerprint for one in decoded.entries],
            [one.fingerprint for one in update.entries],
        )
        for sent, got in zip(update.crashes, decoded.crashes, strict=True):
            self.assertEqual(sent.suspects, got.suspects)
            self.assertAlmostEqual(sent.at_s, got.at_s, places=6)

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.none()
            | st.integers()
            | st.floats()
            | TEXTS
            | st.lists(st.lists(st.none() | st.integers() | TEXTS)),
            max_size=7,
        )
    )
    def test_malformed_fields_are_refused(self, fields):
        with (
            mock.patch('asyncio.get_running_loop', return_value=Clock(0.0)),
            self.assertRaises(error.PeerError),
        ):
            update_codec.decode(frame.Kind.QUARANTINE, ['entry-1', *fields, 0])

    def test_runs_with_many_parts_fit_datagrams(self):
        """60 runs of 4 parts, and one of 256, at a crash."""

        def part(number):
            return b'\x01' + number.to_bytes(trait.VALUE_BYTES)

        runs = [range(n, n + 4) for n in range(60)] + [range(256)]
        suspects = {
            n.to_bytes(fingerprint.LENGTH): evidence.Suspect(
                n.to_bytes(fingerprint.LENGTH),
                1.0,
                shared=frozenset(map(part, numbers)),
            )
            for n, numbers in enumerate(runs)
        }
        sent = evidence.Crash('i-0123456789', 'writers', 0.0, suspects)
        received = evidence.Crash('i-0123456789', 'writers', 0.0)
        with mock.patch('asyncio.get_running_loop', return_value=Clock(0.0)):
            for one in update_lib.split([sent], (), (), ()):
                data = quarantine_codec.encode('entry-1', one)
                self.assertLess(len(data), 1400)
                _, got = update_codec.decode(*frame.unpack(data))
                received.merge(got.crashes[0])
        self.assertEqual(received.suspects, suspects)

    def test_whole_requests_are_sent_in_the_form_of_the_release_before(self):
        """Gateways of both releases run together during an update."""
        suspect = evidence.Suspect(BAD, 0.1)
        other = evidence.Suspect(
            b'o' * fingerprint.LENGTH,
            0.1,
            shared=frozenset([b'\x01'.ljust(trait.LENGTH, b'p')]),
        )
        crash = evidence.Crash(
            'a', 'writers', 0.0, {BAD: suspect, other.fingerprint: other}
        )
        with mock.patch('asyncio.get_running_loop', return_value=Clock(0.0)):
            first, second = (
                frame.unpack(quarantine_codec.encode('entry-1', one))[1]
                for one in update_lib.split([crash], (), (), ())
            )
        self.assertEqual(first[1][0][3], [[BAD, 0.1]])
        self.assertEqual(len(second[1][0][3][0]), 3)

    def test_an_update_fits_a_datagram(self):
        crash = evidence.Crash(
            'i-0123456789\n12345678901',
            'writers',
            0.0,
            {
                n.to_bytes(fingerprint.LENGTH): evidence.Suspect(
                    n.to_bytes(fingerprint.LENGTH), 1.0
                )
                for n in range(evidence.MAX_SUSPECTS)
            },
        )
        with mock.patch('asyncio.get_running_loop', return_value=Clock(0.0)):
            sizes = [
                len(quarantine_codec.encode('entry-1', one))
                for one in update_lib.split([crash], (), (), ())
            ]
        self.assertLess(max(sizes), 1400)


if __name__ == '__main__':
    unittest.main()
