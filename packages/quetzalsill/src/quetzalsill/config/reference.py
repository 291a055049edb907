"""Check of the names by which parts of a configuration refer to others."""

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
    """A name that stands at a path and must be among those known."""

    path: str
    name: str
    known: Iterable[str]


def check_references(
    cfg: model.Configuration,
    registry: plugin_registry.Registry = plugin_registry.REGISTRY,
) -> None:
    """Checks that what a configuration names exists and is told apart.

    Names of policies are checked only for kinds that have plug-ins in this
    process, since an operator's desk need not have them installed.

    Raises:
      InvalidDocumentError: With every fault that was found.
    """
    faults = [*_missing(cfg, registry), *_repeated(cfg)]
    if faults:
        raise schema_error.InvalidDocumentError(document.WHERE, faults)


def _missing(
    cfg: model.Configuration, registry: plugin_registry.Registry
) -> Iterator[schema_error.InvalidKeyError]:
    for reference in _references(cfg, registry):
        if reference.name not in reference.known:
            known = ', '.join(sorted(reference.known)[:20]) or 'none defined'
            yield _fault(reference.path, repr(reference.name), known)


def _references(
    cfg: model.Configuration, registry: plugin_registry.Registry
) -> Iterator[_Reference]:
    yield from _of_models(cfg)
    yield from _of_upstreams(cfg)
    yield from _of_accounts(cfg)
    yield from _of_policies(cfg, registry)


def _of_models(cfg: model.Configuration) -> Iterator[_Reference]:
    for name, item in cfg.models.items():
        if item.profile:
            path = f'models.{name}.profile'
            yield _Reference(path, item.profile, cfg.profiles)


def _of_upstreams(cfg: model.Configuration) -> Iterator[_Reference]:
    adapters = {
        adapter for item in cfg.models.values() for adapter in item.adapters
    }
    for name, item in cfg.upstreams.items():
        path = f'upstreams.{name}'
        yield from _each(f'{path}.models', item.models, cfg.models)
        yield from _each(f'{path}.adapters', item.adapters, adapters)
        yield from _each(f'{path}.services', item.services, cfg.services)


def _of_accounts(cfg: model.Configuration) -> Iterator[_Reference]:
    for name, item in cfg.accounts.items():
        path = f'accounts.{name}'
        if item.default_profile:
            yield _Reference(
                f'{path}.default_profile', item.default_profile, cfg.profiles
            )
        yield from _each(f'{path}.profiles', item.profiles, cfg.profiles)


def _of_policies(
    cfg: model.Configuration, registry: plugin_registry.Registry
) -> Iterator[_Reference]:
    for kind in POLICY_KINDS:
        known = registry.names(kind)
        if known:
            yield _Reference(
                f'policies.{kind}', getattr(cfg.policies, kind), known
            )


def _each(
    path: str, names: list[str], known: Iterable[str]
) -> Iterator[_Reference]:
    for index, name in enumerate(names):
        yield _Reference(f'{path}[{index}]', name, known)


def _repeated(
    cfg: model.Configuration,
) -> Iterator[schema_error.InvalidKeyError]:
    """Yields what stands twice and must tell its owners apart."""
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
    yield from _shared(tokens + operators, 'a token of one owner only')
    yield from _shared(sidecars, 'the address of one upstream only')


def _shared(
    pairs: list[tuple[str, str]], allowed: str
) -> Iterator[schema_error.InvalidKeyError]:
    paths = collections.defaultdict(list)
    for value, path in pairs:
        paths[value].append(path)
    for owners in paths.values():
        for path in owners[1:]:
            yield _fault(path, f'the value of {owners[0]}', allowed)


def _fault(path: str, found: str, allowed: str) -> schema_error.InvalidKeyError:
    return schema_error.InvalidKeyError(document.WHERE, path, found, allowed)
