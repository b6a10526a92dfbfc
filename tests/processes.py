"""Runs stand-ins, agents and entries as separate processes."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from bergamotthread.testing.loopback import free_address
from standins.users import TERMOLAB, user_set

CURSOR_KEY = 'cd' * 32
OPERATOR = f'{TERMOLAB.name}-operator'
_DEADLINE_S = 30
_ROOT = Path(__file__).parent.parent


@dataclass
class Processes:
    """Processes started by one test module; `close` kills all of them."""

    folder: Path
    by_name: dict[str, subprocess.Popen] = field(default_factory=dict)

    def start(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start a Python module as a process that logs to `<name>.log`.

        A running process with the same name is killed first.
        """
        self.end(name)
        log = (self.folder / f'{name}.log').open('wb')
        process = subprocess.Popen(
            [sys.executable, '-m', *arguments],
            cwd=_ROOT,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.by_name[name] = process
        return process

    def role(self, name: str, kind: str, settings: dict) -> None:
        """Start `bergamotthread KIND` with the given settings."""
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        self.start(name, 'bergamotthread', kind, '--settings', str(path))

    def end(self, name: str) -> None:
        process = self.by_name.get(name)
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()

    def kill(self, name: str) -> None:
        self.by_name[name].send_signal(signal.SIGKILL)
        self.by_name[name].wait()

    def close(self) -> None:
        for name in self.by_name:
            self.end(name)

    def log(self, name: str) -> str:
        return (self.folder / f'{name}.log').read_text()


def wait_for(url: str) -> None:
    """Wait until a GET of the URL returns status 200.

    Raises
    ------
    TimeoutError
        If that takes longer than 30 s.
    """
    end_s = time.monotonic() + _DEADLINE_S
    while time.monotonic() < end_s:
        try:
            with urllib.request.urlopen(url, timeout=1) as response:
                if response.status == 200:
                    return
        except (urllib.error.URLError, OSError):
            time.sleep(0.05)
    raise TimeoutError(url)


@dataclass
class Deployment:
    """Two entries, three engines and one plain service as processes.

    Each engine and the service has an agent of its own; a stand-in of the
    platform's store serves all of them.
    """

    processes: Processes
    platform: str = field(default_factory=free_address)
    engines: list[str] = field(
        default_factory=lambda: [free_address() for _ in range(3)],
    )
    agents: list[str] = field(
        default_factory=lambda: [free_address() for _ in range(3)],
    )
    service: str = field(default_factory=free_address)
    service_agent: str = field(default_factory=free_address)
    entries: list[str] = field(
        default_factory=lambda: [free_address() for _ in range(2)],
    )
    listens: list[str] = field(
        default_factory=lambda: [free_address() for _ in range(2)],
    )

    def start(self) -> None:
        """Start all processes, publish objects, wait for ready entries."""
        processes = self.processes
        processes.start('platform', 'standins.platform_store', self.platform)
        processes.start('service', 'standins.service', '--listen', self.service)
        for index, address in enumerate(self.engines):
            processes.start(
                f'engine{index}', 'standins.engine', '--listen', address
            )
            self._agent(index, self.agents[index], address, 'engine')
        self._agent(9, self.service_agent, self.service, 'service')
        wait_for(f'http://{self.platform}/api/rows-get?table=x&part=')
        for index, address in enumerate(self.entries):
            self._entry(index, address)
        self.publish()
        for listen in self.listens:
            wait_for(f'http://{listen}/readyz')

    def publish(self) -> str:
        """Publish the objects of the deployment as its first version."""
        objects = user_set(TERMOLAB, self.agents, [self.service_agent])
        path = self.processes.folder / 'set.json'
        path.write_bytes(msgspec.json.encode(objects))
        return self.command('publish', str(path), '--base', '0')

    def command(self, *arguments: str) -> str:
        """Return the output of a command, run with the operator's key."""
        completed = subprocess.run(
            [
                sys.executable,
                '-m',
                'bergamotthread',
                '--platform',
                self.platform,
                *arguments,
            ],
            cwd=_ROOT,
            env={**os.environ, 'BERGAMOTTHREAD_CREDENTIAL': OPERATOR},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert completed.returncode == 0, completed.stdout + completed.stderr
        return completed.stdout

    def restart_entry(self, index: int) -> None:
        self._entry(index, self.entries[index])
        wait_for(f'http://{self.listens[index]}/readyz')

    def _agent(
        self, index: int, address: str, upstream: str, kind: str
    ) -> None:
        self.processes.role(
            f'agent{index}',
            'agent',
            {
                'place': _place(address, index % 3),
                'upstream': upstream,
                'upstream_name': f'upstream-{index}',
                'upstream_kind': kind,
                'entries': self.entries,
                'platform': {'address': self.platform},
            },
        )

    def _entry(self, index: int, address: str) -> None:
        peers = [entry for entry in self.entries if entry != address]
        self.processes.role(
            f'entry{index}',
            'entry',
            {
                'place': _place(address, index),
                'listen': self.listens[index],
                'platform': {
                    'address': self.platform,
                    'reads_per_s': 20,
                    'writes_per_s': 20,
                },
                'keys': {'cursor_keys': [CURSOR_KEY]},
                'peers': peers,
            },
        )


def _place(address: str, index: int) -> dict[str, str]:
    region = TERMOLAB.regions[index]
    return {
        'address': address,
        'region': region,
        'failure_domain': f'{region}-a',
    }
