"""Fleet and configuration of the Board, the demo's and tests' example user."""

from __future__ import annotations

import hashlib

from quetzalsill.config import model
from quetzalsill_dev import layout

__all__ = [
    'MODEL',
    'OPERATOR_TOKEN',
    'SERVICE',
    'TOKENS',
    'ZONES',
    'board_layout',
    'configuration',
]

ZONES = ('ikeja-hall', 'apapa-hall', 'lekki-hall')
MODEL = 'depot-writer'
SERVICE = 'ordering'
TOKENS = {
    'depot-clerks': 'depot-clerks-token-0001',
    'retailers': 'retailers-token-0002',
}
OPERATOR_TOKEN = 'depot-operator-token-0003'
VIEWER_TOKEN = 'depot-viewer-token-0004'


def board_layout(
    engines: int = 3, services: int = 1, routers: int = 2
) -> layout.Layout:
    """Returns a fleet spread over the three availability zones."""
    return layout.Layout(
        engines=[
            layout.EngineSpec(f'model-{zone}-{number}', zone, models=[MODEL])
            for number, zone in _assign_zones(engines)
        ],
        services=[
            layout.ServiceSpec(f'app-{zone}-{number}', zone, [SERVICE])
            for number, zone in _assign_zones(services)
        ],
        routers=[
            layout.RouterSpec(f'entry-{zone}-{number}', zone)
            for number, zone in _assign_zones(routers)
        ],
    )


def _assign_zones(count: int) -> list[tuple[int, str]]:
    """Returns numbers from 1, each with an availability zone."""
    return [(i + 1, ZONES[i % len(ZONES)]) for i in range(count)]


def configuration() -> model.Configuration:
    """Returns the configuration of the Board, without upstreams."""
    return model.Configuration(
        profiles=_profiles(),
        models={MODEL: model.Model(profile='')},
        services={SERVICE: _ordering_service()},
        accounts={
            'depot-clerks': _account('depot-clerks', 'patient'),
            'retailers': _account('retailers', 'prompt'),
        },
        operators={
            'depot-operator': model.Operator(
                token_sha256=_sha256(OPERATOR_TOKEN), role='operator'
            ),
            'depot-viewer': model.Operator(
                token_sha256=_sha256(VIEWER_TOKEN), role='viewer'
            ),
        },
    )


def _profiles() -> dict[str, model.Profile]:
    patient = model.Profile(
        delivery='whole',
        durable=True,
        deadline_s=3600.0,
        queue_wait_s=1800.0,
        priority=7,
        retries=10,
    )
    verdict = model.Profile(deadline_s=60.0, priority=4)
    prompt = model.Profile(
        deadline_s=30.0,
        queue_wait_s=5.0,
        priority=1,
        uses_headroom=True,
        max_output_tokens=512,
    )
    return {'patient': patient, 'verdict': verdict, 'prompt': prompt}


def _ordering_service() -> model.Service:
    reads = model.Route(path='/', methods=['GET'], idempotent=True)
    orders = model.Route(path='/orders', methods=['POST'], idempotent=False)
    other = model.Route(path='/echo', methods=[], idempotent=False)
    return model.Service(routes=[reads, orders, other])


def _account(name: str, profile: str) -> model.Account:
    return model.Account(
        token_sha256=[_sha256(TOKENS[name])], default_profile=profile
    )


def _sha256(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()
