"""Tests of read commands, options and credentials."""

from __future__ import annotations

import dataclasses
import json
import unittest

from click import testing

from quetzalsill_cli import failure
from quetzalsill_router.admin import view
from tests.quetzalsill.net import certificate
from tests.quetzalsill_cli import fixture
from tests.quetzalsill_router.admin import fake

READS = (
    ('profile', 'list'),
    ('profile', 'show', 'prompt'),
    ('profile', 'history', 'prompt'),
    ('upstream', 'list'),
    ('account', 'list'),
    ('account', 'show', 'lagos'),
    ('account', 'limits', 'lagos'),
    ('model', 'list'),
    ('config', 'show'),
    ('config', 'status'),
    ('config', 'history'),
    ('config', 'diff', '--from', '0', '--to', '1'),
    ('request', 'show', 'r1'),
    ('status',),
)


class ReadTest(fixture.CommandTestCase):
    """Read commands, connection options and credentials."""

    def setUp(self):
        super().setUp()
        self.router.requests.found['r1'] = view.RequestView(
            'r1', 'running', 'lagos', 'patient', 'planner', 'ikeja-1', 1,
            2.5, 7, True, '',
        )  # fmt: skip

    def test_every_read_prints_a_table_and_json(self):
        for words in READS:
            with self.subTest(words):
                result = self.invoke(*words)
                self.assertEqual(0, result.exit_code, result.output)
                self.assertTrue(result.stdout.strip())
                result = self.invoke(*words, '--json')
                self.assertEqual(0, result.exit_code, result.output)
                json.loads(result.stdout)

    def test_a_table_is_aligned(self):
        lines = self.invoke('profile', 'list').stdout.splitlines()
        column = lines[0].index('DELIVERY')
        self.assertEqual(
            ['stream', 'stream'],
            [line[column:].split()[0] for line in lines[1:]],
        )

    def test_the_next_router_is_asked_when_one_is_down(self):
        urls = [fixture.unused_url(), self.served.url]
        result = self.invoke('profile', 'list', urls=urls)
        self.assertEqual(0, result.exit_code, result.output)

    def test_routers_of_the_environment(self):
        urls = f'{fixture.unused_url()} {self.served.url}'
        result = testing.CliRunner().invoke(
            self.command,
            ['status'],
            env={
                'QUETZALSILL_TOKEN': fake.OPERATOR,
                'QUETZALSILL_ROUTER': urls,
            },
        )
        self.assertEqual(0, result.exit_code, result.output)

    def test_only_a_router_of_the_authority_gets_the_token(self):
        """The token is sent only over a verified TLS connection.

        A server at the router's address with a certificate of another
        authority must not receive it.
        """
        own, other = (
            certificate.Authority(self.folder, name) for name in ('a', 'b')
        )
        tls = dataclasses.replace(own.issue('router'), authority='')
        served = self.routers.add(self.router, tls)
        for authority, code in (
            (own, failure.ExitCode.OK),
            (other, failure.ExitCode.UNREACHABLE),
        ):
            result = self.invoke(
                '--authority', str(authority.path), 'status',
                urls=[served.url],
            )  # fmt: skip
            self.assertEqual(code, result.exit_code, result.output)
            self.assertEqual(
                code is failure.ExitCode.OK, bool(served.app.calls)
            )
            served.app.calls.clear()

    def test_routers_that_demand_a_certificate(self):
        """Routers that verify client certificates accept that of --certificate.

        Operators need the option if the routers' TLS settings name a
        certificate authority.
        """
        own, other = (
            certificate.Authority(self.folder, name) for name in ('a', 'b')
        )
        served = self.routers.add(self.router, own.issue('router'))
        shown = [(own.issue('ada'), 0), (other.issue('eve'), 5), (None, 5)]
        for tls, code in shown:
            files = tls and [
                '--certificate', tls.certificate, '--key', tls.key,
            ]  # fmt: skip
            result = self.invoke(
                '--authority', str(own.path), *(files or ()), 'status',
                urls=[served.url],
            )  # fmt: skip
            self.assertEqual(code, result.exit_code, result.output)
        half = self.invoke('--certificate', shown[0][0].certificate, 'status')
        self.assertEqual(failure.ExitCode.USAGE, half.exit_code)

    def test_the_example_passes_the_check(self):
        text = self.invoke('config', 'example').stdout
        self.assertIn('//', text)
        for name in ('patient', 'prompt'):
            self.assertIn(f'"{name}": {{', text)
        result = self.invoke('config', 'check', self.file(text))
        self.assertEqual(0, result.exit_code, result.output)

    def test_malformed_urls(self):
        for url in ('x', 'http://a b', 'http://[::', 'http://h:99999',
                    'http://h/path', 'ftp://h'):  # fmt: skip
            result = self.invoke('status', urls=[url])
            self.assertEqual(failure.ExitCode.USAGE, result.exit_code, url)

    def test_no_router_reachable(self):
        result = self.invoke('status', urls=[fixture.unused_url()])
        self.assertEqual(failure.ExitCode.UNREACHABLE, result.exit_code)

    def test_a_router_without_configuration_is_passed_over(self):
        """A router that started while the store was down is skipped.

        It knows no operators yet. To report the token as unknown would make
        the operator search for an error in the credential.
        """
        fresh = self.routers.add(fake.Router(name='entry-3'))
        result = self.invoke('status', urls=[fresh.url, self.served.url])
        self.assertEqual(0, result.exit_code, result.output)
        result = self.invoke('status', urls=[fresh.url])
        self.assertEqual(failure.ExitCode.UNREACHABLE, result.exit_code)

    def test_rejected_credentials(self):
        for token in ('', 'unknown'):
            result = self.invoke('status', token=token)
            self.assertEqual(failure.ExitCode.REFUSED, result.exit_code)
        result = self.invoke('upstream', 'drain', 'ikeja-1', token=fake.VIEWER)
        self.assertEqual(failure.ExitCode.REFUSED, result.exit_code)

    def test_a_token_file_overrides_the_environment(self):
        path = self.file(f'{fake.OPERATOR}\n', 'token')
        result = self.invoke('--token-file', path, 'status', token='unknown')
        self.assertEqual(0, result.exit_code, result.output)

    def test_a_token_cannot_carry_a_header(self):
        path = self.file('a\r\nX-Edit-Id: b', 'token')
        result = self.invoke('--token-file', path, 'status')
        self.assertEqual(failure.ExitCode.USAGE, result.exit_code)

    def test_names_that_do_not_exist(self):
        for words in (('profile', 'show', 'none'), ('request', 'show', 'r/2')):
            result = self.invoke(*words)
            self.assertEqual(failure.ExitCode.USAGE, result.exit_code)

    def test_a_request_is_cancelled_at_the_router_that_has_it(self):
        second = self.add_router()
        second.router.requests.found['r2'] = self.router.requests.found['r1']
        result = self.invoke(
            'request', 'cancel', 'r2', urls=[self.served.url, second.url],
        )  # fmt: skip
        self.assertEqual(0, result.exit_code, result.output)
        self.assertIn('cancelled', result.stdout)

    def test_completion_scripts(self):
        for shell in ('bash', 'zsh', 'fish'):
            result = self.invoke('completion', shell)
            self.assertIn('_QUETZALSILL_COMPLETE', result.stdout)

    def test_help_names_every_exit_code(self):
        text = self.invoke('--help').stdout
        for code in failure.ExitCode:
            self.assertRegex(text, rf'(?m)^\s+{code.value}  ')


if __name__ == '__main__':
    unittest.main()
