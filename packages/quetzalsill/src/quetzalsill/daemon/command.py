"""Commands of `quetzalsilld`; each role adds one."""

from __future__ import annotations

import sys
from typing import Any, NoReturn

import click

from quetzalsill.daemon import exit_code, start
from quetzalsill.plugin import error as plugin_error
from quetzalsill.plugin import registry as plugin_registry
from quetzalsill.plugin import role as plugin_role
from quetzalsill.schema import error as schema_error
from quetzalsill.schema import example, load

__all__ = ['cli']

ROLE_KIND = 'role'

settings_option = click.option(
    '--settings',
    'path',
    metavar='FILE',
    required=True,
    type=click.Path(),
    help='Settings of the process, in JSON with comments.',
)


class _RoleName(click.ParamType):
    """Name of a registered role."""

    name = 'role'

    def convert(
        self,
        value: str,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        if value not in _role_names():
            known = ', '.join(_role_names()) or 'none'
            self.fail(f'there is no role {value!r}; known: {known}', param, ctx)
        return value

    def shell_complete(
        self, ctx: click.Context, param: click.Parameter, incomplete: str
    ) -> list[click.shell_completion.CompletionItem]:
        return [
            click.shell_completion.CompletionItem(name)
            for name in _role_names()
            if name.startswith(incomplete)
        ]


class _RoleGroup(click.Group):
    """Command group that includes the registered roles."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return [*super().list_commands(ctx), *_role_names()]

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        own = super().get_command(ctx, cmd_name)
        if own is not None or cmd_name not in _role_names():
            return own
        return _role_command(_role(cmd_name))


@click.group(
    cls=_RoleGroup,
    context_settings={'help_option_names': ['-h', '--help']},
    epilog=(
        'Exit codes: 0 done or stopped gracefully, 2 wrong usage, 3 settings '
        'that do not fit, 4 could not start, 70 internal fault.'
    ),
)
@click.version_option(package_name='quetzalsill', prog_name='quetzalsilld')
def cli() -> None:
    """Runs one process of quetzalsill in a role."""


@cli.command('check')
@settings_option
@click.option(
    '--role', 'name', type=_RoleName(), help='Role; any that fits if absent.'
)
def check_command(path: str, name: str | None) -> None:
    """Checks a settings file and starts nothing."""
    names = [name] if name else _role_names()
    failures = []
    for role_name in names:
        try:
            load.load_file(_role(role_name).settings_class, path)
        except schema_error.InvalidDocumentError as exc:
            failures.append(exc)
        else:
            click.echo(f'{path}: fits the role {role_name}')
            return
    if failures:
        # The file was most likely written for the role with the fewest errors.
        _exit_invalid(min(failures, key=lambda exc: len(exc.exceptions)))
    raise plugin_error.UnknownPluginError('no role is installed')


@cli.command('example-settings')
@click.argument('name', metavar='ROLE', type=_RoleName())
def example_command(name: str) -> None:
    """Prints a commented settings file that passes the check."""
    click.echo(example.example(_role(name).settings_class), nl=False)


def _role_command(role: plugin_role.Role) -> click.Command:
    @click.command(role.name, help=f'Runs the role {role.name}.')
    @settings_option
    def run_command(path: str) -> None:
        def read() -> Any:
            return load.load_file(role.settings_class, path)

        try:
            settings = read()
        except schema_error.InvalidDocumentError as exc:
            _exit_invalid(exc)
        sys.exit(start.run_role(role, settings, read))

    return run_command


def _role_names() -> list[str]:
    plugin_registry.REGISTRY.load()
    return plugin_registry.REGISTRY.names(ROLE_KIND)


def _role(name: str) -> plugin_role.Role:
    return plugin_registry.REGISTRY.get(ROLE_KIND, name)


def _exit_invalid(exc: schema_error.InvalidDocumentError) -> NoReturn:
    for line in exc.lines():
        click.echo(line, err=True)
    sys.exit(exit_code.ExitCode.INVALID_SETTINGS)
