"""Validation of references between the sections of a configuration."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from quetzalsill.config import document
from quetzalsill.plugin import registry as plugin_registry
from quetzalsill.schema import error as schema_error

if TYPE_CHECKING:
    from quetzalsill.config import model

__all__ = ['POLICY_KINDS', 'check_references']

POLICY_KINDS = ('routing', 'admission', 'fairness', 'limits')


@dataclasses.dataclass(slots=True, frozen=True)
class _Reference:
    """A name found at a path that must be one of the known names."""

    path: str
    name: str
    known: Iterable[str]


def check_references(
    cfg: model.Configuration,
    registry: plugin_registry.Registry = plugin_registry.REGISTRY,
) -> None:
    """Checks that referenced names exist and unique values are unique.

    Policy names are checked only for kinds that have plug-ins registered in
    this process, since an operator's machine need not have them installed.

    Raises:
      InvalidDocumentError: With every error that was found.
    """
    errors = [*_unresolved(cfg, registry), *_duplicates(cfg)]
    if errors:
        raise schema_error.InvalidDocumentError(document.DOCUMENT_NAME, errors)


def _unresolved(
    cfg: model.Configuration, registry: plugin_registry.Registry
) -> Iterator[schema_error.InvalidKeyError]:
    for reference in _references(cfg, registry):
        if reference.name not in reference.known:
            known = ', '.join(sorted(reference.known)[:20]) or 'none defined'
            yield _invalid_key(reference.path, repr(reference.name), known)


def _references(
    cfg: model.Configuration, registry: plugin_registry.Registry
) -> Iterator[_Reference]:
    yield from _model_references(cfg)
    yield from _upstream_references(cfg)
    yield from _account_references(cfg)
    yield from _policy_references(cfg, registry)


def _model_references(cfg: model.Configuration) -> Iterator[_Reference]:
    for name, item in cfg.models.items():
        if item.profile:
            path = f'models.{name}.profile'
            yield _Reference(path, item.profile, cfg.profiles)


def _upstream_references(cfg: model.Configuration) -> Iterator[_Reference]:
    adapters = {
        adapter for item in cfg.models.values() for adapter in item.adapters
    }
    for name, item in cfg.upstreams.items():
        path = f'upstreams.{name}'
        yield from _list_references(f'{path}.models', item.models, cfg.models)
        yield from _list_references(f'{path}.adapters', item.adapters, adapters)
        yield from _list_references(
            f'{path}.services', item.services, cfg.services
        )


def _account_references(cfg: model.Configuration) -> Iterator[_Reference]:
    for name, item in cfg.accounts.items():
        path = f'accounts.{name}'
        if item.default_profile:
            yield _Reference(
                f'{path}.default_profile', item.default_profile, cfg.profiles
            )
        yield from _list_references(
            f'{path}.profiles', item.profiles, cfg.profiles
        )


def _policy_references(
    cfg: model.Configuration, registry: plugin_registry.Registry
) -> Iterator[_Reference]:
    for kind in POLICY_KINDS:
        known = registry.names(kind)
        if known:
            yield _Reference(
                f'policies.{kind}', getattr(cfg.policies, kind), known
            )


def _list_references(
    path: str, names: list[str], known: Iterable[str]
) -> Iterator[_Reference]:
    for index, name in enumerate(names):
        yield _Reference(f'{path}[{index}]', name, known)


def _duplicates(
    cfg: model.Configuration,
) -> Iterator[schema_error.InvalidKeyError]:
    """Yields an error for each duplicate of a value that must be unique."""
    tokens = [
        (digest, f'accounts.{name}.token_sha256')
        for name, item in cfg.accounts.items()
        for digest in item.token_sha256
    ]
    operators = [
        (item.token_sha256, f'operators.{name}.token_sha256')
        for name, item in cfg.operators.items()
    ]
    sidecars = [
        (item.sidecar, f'upstreams.{name}.sidecar')
        for name, item in cfg.upstreams.items()
    ]
    yield from _duplicate_values(
        tokens + operators, 'a token of one owner only'
    )
    yield from _duplicate_values(sidecars, 'the address of one upstream only')


def _duplicate_values(
    pairs: list[tuple[str, str]], allowed: str
) -> Iterator[schema_error.InvalidKeyError]:
    paths = collections.defaultdict(list)
    for value, path in pairs:
        paths[value].append(path)
    for owners in paths.values():
        for path in owners[1:]:
            yield _invalid_key(path, f'the value of {owners[0]}', allowed)


def _invalid_key(
    path: str, found: str, allowed: str
) -> schema_error.InvalidKeyError:
    return schema_error.InvalidKeyError(
        document.DOCUMENT_NAME, path, found, allowed
    )
