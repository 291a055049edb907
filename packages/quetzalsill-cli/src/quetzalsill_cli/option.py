"""Options shared by the commands."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import re
from collections.abc import Callable
from typing import Any, TypeVar

import blacksheep
import click

__all__ = [
    'DEFAULT_ROUTER',
    'Options',
    'TOKEN_VARIABLE',
    'assignments',
    'expect',
    'json_output',
    'build_options',
    'note',
    'root_options',
    'wait',
]

DEFAULT_ROUTER = 'http://127.0.0.1:7100'
TOKEN_VARIABLE = 'QUETZALSILL_TOKEN'
_TOKEN_PATTERN = re.compile(r'[\x21-\x7e]{1,512}')
_DEFAULT_TIMEOUT_S = 5.0

F = TypeVar('F', bound=Callable[..., Any])


@dataclasses.dataclass(slots=True, frozen=True)
class Options:
    """Connection options for the routers.

    Attributes:
      routers: Base URLs, tried in order.
      token: Bearer token of the operator; empty if none was given.
      timeout_s: Timeout of one request to one router.
      authority: CA certificate file; empty for the system's CAs.
      certificate: Client certificate chain file; empty for none.
      key: Private key file of the client certificate.
    """

    routers: tuple[str, ...]
    token: str
    timeout_s: float
    authority: str
    certificate: str
    key: str


def _read_token(
    ctx: click.Context, param: click.Parameter, value: str | None
) -> str:
    if value is None:
        return ''
    try:
        text = pathlib.Path(value).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise click.BadParameter(str(exc), ctx, param) from exc
    return text.strip()


def _is_router_url(url: str) -> bool:
    if not re.fullmatch(r'https?://[!-~]+', url):
        return False
    try:
        return blacksheep.URL(url.encode()).path in (None, b'', b'/')
    except blacksheep.InvalidURL:
        return False


def _check_routers(
    ctx: click.Context, param: click.Parameter, value: tuple[str, ...]
) -> tuple[str, ...]:
    for url in value:
        if not _is_router_url(url):
            raise click.BadParameter(
                f'{url!r} is not a URL such as {DEFAULT_ROUTER}', ctx, param
            )
    return tuple(url.rstrip('/') for url in value)


def build_options(
    routers: tuple[str, ...],
    file_token: str,
    timeout_s: float,
    authority: str | None,
    certificate: str | None,
    key: str | None,
) -> Options:
    """Validates and combines the options of the root command."""
    token = file_token or os.environ.get(TOKEN_VARIABLE, '').strip()
    if token and not _TOKEN_PATTERN.fullmatch(token):
        raise click.UsageError('the token holds characters that none may have')
    if bool(certificate) != bool(key):
        raise click.UsageError('--certificate and --key go together')
    return Options(
        routers, token, timeout_s, authority or '', certificate or '', key or ''
    )


def root_options(command: F) -> F:
    """Adds the shared options to the root command."""
    decorators = (
        click.option(
            '--router',
            'routers',
            multiple=True,
            default=(DEFAULT_ROUTER,),
            show_default=True,
            metavar='URL',
            callback=_check_routers,
            envvar='QUETZALSILL_ROUTER',
            show_envvar=True,
            help='Router to ask; repeat it to name others to try next.',
        ),
        click.option(
            '--token-file',
            'file_token',
            metavar='FILE',
            callback=_read_token,
            help='File with the operator token; goes before QUETZALSILL_TOKEN.',
        ),
        click.option(
            '--timeout',
            'timeout_s',
            type=click.FloatRange(0.1, 600),
            default=_DEFAULT_TIMEOUT_S,
            show_default=True,
            metavar='SECONDS',
            help='Longest wait for one answer of one router.',
        ),
        click.option(
            '--authority',
            metavar='FILE',
            type=click.Path(exists=True, dir_okay=False),
            help='Certificate authority that signed the routers.',
        ),
        click.option(
            '--certificate',
            metavar='FILE',
            type=click.Path(exists=True, dir_okay=False),
            help='Own certificate, where routers demand one.',
        ),
        click.option(
            '--key',
            metavar='FILE',
            type=click.Path(exists=True, dir_okay=False),
            help='Private key of the own certificate.',
        ),
    )
    for decorate in reversed(decorators):
        command = decorate(command)
    return command


json_output = click.option(
    '--json', 'as_json', is_flag=True, help='Print JSON instead of a table.'
)

wait = click.option(
    '--wait/--no-wait',
    default=True,
    show_default=True,
    help='Wait until every live node shows the new revision.',
)


def assignments(text: str) -> Callable[[F], F]:
    """Adds the repeatable option `--set KEY=VALUE` with the given help."""
    return click.option(
        '--set',
        'assignments',
        multiple=True,
        metavar='KEY=VALUE',
        help=text,
    )


expect = click.option(
    '--expect',
    type=click.IntRange(min=0),
    metavar='REVISION',
    help='Refuse the edit unless this revision is current.',
)


def _check_note(ctx: click.Context, param: click.Parameter, value: str) -> str:
    if not value.isprintable():
        raise click.BadParameter('must be one line of text', ctx, param)
    return value


note = click.option(
    '--note',
    default='',
    metavar='TEXT',
    callback=_check_note,
    help='Why, for the history.',
)
