"""Starts a gateway as the deploy file does, with a rendered settings file."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import socket
import tomllib

__all__ = ['Gateway', 'free_port']

ROOT = pathlib.Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 20.0
# The bounds of a small deployment.
GRACE_S = 8
DRAIN_MS = 2000
CONFIG_APPLY_MS = 2000


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Returns a loopback port that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


class Gateway:
    """A process of the role `gateway`.

    Attributes:
      name: Name of its node.
      port: Port for clients.
    """

    def __init__(
        self, name: str, folder: pathlib.Path, store: str, zone: str = 'zone-a'
    ) -> None:
        self.name = name
        self.port = free_port()
        self._ready_port = free_port()
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        # What the platform renders from the template of the deploy file.
        settings = {
            'node': {'name': name, 'availability_zone': zone},
            'listen': f'127.0.0.1:{self.port}',
            'ready': f'127.0.0.1:{self._ready_port}',
            'ready_path': '/-/readyz',
            'store': store,
            'deployment': 'platform',
            'metrics': f'127.0.0.1:{free_port()}',
            'peers': f'127.0.0.1:{free_port(socket.SOCK_DGRAM)}',
            'retry': {'ratio': 0.2, 'allowance': 56, 'window_s': 10},
            'regions': {zone: 'region-a'},
            'watch': {
                'configuration_ms': CONFIG_APPLY_MS,
                'leaving_ms': DRAIN_MS,
            },
            'stop': {'grace_s': GRACE_S},
        }
        self._settings = folder / f'{name}.json'
        self._settings.write_text(json.dumps(settings), encoding='utf-8')

    @property
    def log(self) -> pathlib.Path:
        """File with its output."""
        return self._folder / f'{self.name}.log'

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts it and waits until it says that it is ready."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['gateway']['run'].split()
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['QUETZALSILL_BOOT'] = str(self._settings)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        with self.log.open('wb') as output:
            self._process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=output, stderr=output
            )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                if not self.is_running:
                    raise RuntimeError(f'{self.name} has ended')
                await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Asks it once, as the platform does each second."""
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self._ready_port
            )
        except OSError:
            return False
        writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n')
        try:
            line = await asyncio.wait_for(reader.readline(), 1.0)
        except (OSError, TimeoutError):
            line = b''
        writer.transport.abort()
        return line.startswith(b'HTTP/1.1 200')

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to it."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self, timeout_s: float) -> bool:
        """Waits until it ends; returns whether it did in time."""
        try:
            await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def kill(self) -> None:
        """Ends it at once."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            await self._process.wait()
