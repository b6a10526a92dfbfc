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
_READY_TIMEOUT_S = 30
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
        self.kill_if_running(name)
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

    def start_role(self, name: str, kind: str, settings: dict) -> None:
        """Start `bergamotthread KIND` with the given settings."""
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        self.start(name, 'bergamotthread', kind, '--settings', str(path))

    def kill_if_running(self, name: str) -> None:
        process = self.by_name.get(name)
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()

    def kill(self, name: str) -> None:
        self.by_name[name].send_signal(signal.SIGKILL)
        self.by_name[name].wait()

    def close(self) -> None:
        for name in self.by_name:
            self.kill_if_running(name)

    def log(self, name: str) -> str:
        return (self.folder / f'{name}.log').read_text()


def wait_until_ok(url: str) -> None:
    """Wait until a GET of the URL returns status 200.

    Raises
    ------
    TimeoutError
        If that takes longer than 30 s.
    """
    end_s = time.monotonic() + _READY_TIMEOUT_S
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
    platform_address: str = field(default_factory=free_address)
    engine_addresses: list[str] = field(
        default_factory=lambda: [free_address() for _ in range(3)],
    )
    agent_addresses: list[str] = field(
        default_factory=lambda: [free_address() for _ in range(3)],
    )
    service_address: str = field(default_factory=free_address)
    service_agent_address: str = field(default_factory=free_address)
    entry_addresses: list[str] = field(
        default_factory=lambda: [free_address() for _ in range(2)],
    )
    listen_addresses: list[str] = field(
        default_factory=lambda: [free_address() for _ in range(2)],
    )

    def start(self) -> None:
        """Start all processes, publish objects, wait for ready entries."""
        processes = self.processes
        processes.start(
            'platform', 'standins.platform_store', self.platform_address
        )
        processes.start(
            'service', 'standins.service', '--listen', self.service_address
        )
        for index, address in enumerate(self.engine_addresses):
            processes.start(
                f'engine{index}', 'standins.engine', '--listen', address
            )
            self._start_agent(
                index, self.agent_addresses[index], address, 'engine'
            )
        self._start_agent(
            9, self.service_agent_address, self.service_address, 'service'
        )
        wait_until_ok(
            f'http://{self.platform_address}/api/rows-get?table=x&part='
        )
        for index, address in enumerate(self.entry_addresses):
            self._start_entry(index, address)
        self.publish()
        for listen in self.listen_addresses:
            wait_until_ok(f'http://{listen}/readyz')

    def publish(self) -> str:
        """Publish the objects of the deployment as its first version."""
        objects = user_set(
            TERMOLAB, self.agent_addresses, [self.service_agent_address]
        )
        path = self.processes.folder / 'set.json'
        path.write_bytes(msgspec.json.encode(objects))
        return self.run_command('publish', str(path), '--base', '0')

    def run_command(self, *arguments: str) -> str:
        """Return the output of a command, run with the operator's key."""
        completed = subprocess.run(
            [
                sys.executable,
                '-m',
                'bergamotthread',
                '--platform',
                self.platform_address,
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
        self._start_entry(index, self.entry_addresses[index])
        wait_until_ok(f'http://{self.listen_addresses[index]}/readyz')

    def _start_agent(
        self, index: int, address: str, upstream: str, kind: str
    ) -> None:
        self.processes.start_role(
            f'agent{index}',
            'agent',
            {
                'place': _place_settings(address, index % 3),
                'upstream': upstream,
                'upstream_name': f'upstream-{index}',
                'upstream_kind': kind,
                'entries': self.entry_addresses,
                'platform': {'address': self.platform_address},
            },
        )

    def _start_entry(self, index: int, address: str) -> None:
        peers = [entry for entry in self.entry_addresses if entry != address]
        self.processes.start_role(
            f'entry{index}',
            'entry',
            {
                'place': _place_settings(address, index),
                'listen': self.listen_addresses[index],
                'platform': {
                    'address': self.platform_address,
                    'reads_per_s': 20,
                    'writes_per_s': 20,
                },
                'keys': {'cursor_keys': [CURSOR_KEY]},
                'peers': peers,
            },
        )


def _place_settings(address: str, index: int) -> dict[str, str]:
    region = TERMOLAB.regions[index]
    return {
        'address': address,
        'region': region,
        'failure_domain': f'{region}-a',
    }
