"""The desired state of a small deployment of the platform."""

from __future__ import annotations

from typing import Any

__all__ = ['CONFIG', 'KEY', 'TIME_LIMIT_MS']

KEY = 'key-of-tenant-a'
TIME_LIMIT_MS = 39_000

CONFIG: dict[str, Any] = {
    'version': 3,
    'routes': [
        {
            'name': 'brief',
            'host': 'studio.example',
            'prefix': '/brief/',
            'routeType': 'streaming',
            'timeoutMs': TIME_LIMIT_MS,
            'targetLatencyMs': 1800,
            'priority': 1,
            'service': 'pool',
            'maxAttempts': 1,
            'public': False,
            'sessionAffinity': True,
            'streamResume': False,
            'itlTargetMs': 180,
        },
        {
            'name': 'tag',
            'host': 'studio.example',
            'prefix': '/tag/',
            'routeType': 'streaming',
            'timeoutMs': 6000,
            'targetLatencyMs': 1500,
            'priority': 0,
            'service': 'pool',
            'maxAttempts': 2,
            'public': False,
            'sessionAffinity': True,
            'streamResume': True,
            'itlTargetMs': 180,
        },
    ],
    'services': [
        {
            'name': 'pool',
            'healthPath': '/healthz',
            'maxConnections': 252,
            'protocol': 'h1',
            'tls': False,
            'engine': {
                'slots': 24,
                'kvCapacity': 34308,
                'kvBytes': 18432,
                'linkMbps': 2700.0,
                'moves': True,
                'backups': True,
                'stride': 4,
                'most': 12,
                'pinMs': 4000.0,
                'holdMs': 2000.0,
                'handleS': 5.0,
                'models': [{'name': 'm'}],
            },
        }
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
    'tenants': [{'name': 'tenant-a', 'apiKeys': [KEY], 'priority': 1}],
}
