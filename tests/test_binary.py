import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import psutil
import pytest

from bergamotthread.testing.loopback import free_address, free_port

_ROOT = Path(__file__).parent.parent
_BUILD = _ROOT / 'scripts' / 'build-binary'
_MEMORY_FILE_SYSTEM = Path('/dev/shm')
_DIRECTORY_VARIABLE = 'BERGAMOTTHREAD_MEMORY_DIR'
_START_TIMEOUT_S = 15


def _build(target: Path, path: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        ['/bin/bash', str(_BUILD), str(target)],
        env={'PYTHON': sys.executable, 'PATH': path},
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.fixture(scope='module')
def binary(tmp_path_factory: pytest.TempPathFactory) -> Path:
    target = tmp_path_factory.mktemp('binary') / 'bergamotthread'
    built = _build(target, os.environ['PATH'])
    assert built.returncode == 0, built.stderr
    return target


@pytest.fixture
def memory() -> Iterator[Path]:
    """Return an empty directory in memory (tmpfs) to unpack into."""
    path = Path(tempfile.mkdtemp(dir=_MEMORY_FILE_SYSTEM))
    yield path
    shutil.rmtree(path)


def _write_settings(path: Path) -> int:
    """Write settings of an entry and return the port that it listens on."""
    settings = json.loads((_ROOT / 'examples' / 'entry.json').read_bytes())
    port = free_port()
    settings['place']['address'] = free_address()
    settings['listen'] = f'127.0.0.1:{port}'
    path.write_text(json.dumps(settings))
    return port


def _fetch_health(port: int) -> bytes:
    """Return the health response, once the port accepts connections."""
    for _ in range(_START_TIMEOUT_S * 50):
        try:
            with socket.create_connection(('127.0.0.1', port), 1) as client:
                client.sendall(b'GET /healthz HTTP/1.0\r\n\r\n')
                return client.recv(1000)
        except ConnectionRefusedError:
            time.sleep(0.02)
    raise AssertionError('/healthz: connection refused until the timeout')


def _mapped_files(process: psutil.Process) -> set[str]:
    paths = {mapping.path for mapping in process.memory_maps()}
    return {path for path in paths if path.startswith('/')}


def test_entry_stays_one_process(
    binary: Path, memory: Path, tmp_path: Path
) -> None:
    """The binary starts no children and reads Python only from memory.

    Guards against a launcher that forks, loads an installed Python or writes
    files to the working directory.
    """
    settings = tmp_path / 'entry.json'
    port = _write_settings(settings)
    files_before = set(tmp_path.iterdir())
    with subprocess.Popen(
        [str(binary), 'entry', '--settings', str(settings)],
        env={_DIRECTORY_VARIABLE: str(memory)},
        cwd=tmp_path,
        stderr=subprocess.DEVNULL,
    ) as entry:
        response = _fetch_health(port)
        process = psutil.Process(entry.pid)
        listening = [
            connection.laddr.port for connection in process.net_connections()
        ]
        children = process.children(recursive=True)
        mapped = _mapped_files(process)
        entry.terminate()
        entry.wait(_START_TIMEOUT_S)
    assert response.startswith(b'HTTP/1.')
    assert (port in listening, children) == (True, [])
    unpacked = {path for path in mapped if path.startswith(str(memory))}
    assert any('libpython' in path for path in unpacked)
    assert not any('python' in path for path in mapped - unpacked)
    assert set(tmp_path.iterdir()) == files_before
    assert len(list(memory.iterdir())) == 1


def test_second_start_unpacks_nothing(binary: Path, memory: Path) -> None:
    """A second start of the same build must reuse the unpacked files."""
    modified_ns = []
    for _ in range(2):
        completed = subprocess.run(
            [str(binary), '--version'],
            env={_DIRECTORY_VARIABLE: str(memory)},
            capture_output=True,
            text=True,
            check=True,
        )
        assert 'bergamotthread' in completed.stdout
        (unpacked,) = memory.iterdir()
        modified_ns.append(unpacked.stat().st_mtime_ns)
    assert modified_ns[0] == modified_ns[1]


@pytest.mark.parametrize(
    ('directory', 'message'),
    [
        ('', 'expected the absolute path of a directory in memory'),
        ('relative', 'expected the absolute path of a directory in memory'),
        ('/proc', 'expected a directory in memory (tmpfs or ramfs)'),
        ('/missing', 'No such file'),
    ],
)
def test_directory_not_in_memory_is_refused(
    binary: Path, directory: str, message: str
) -> None:
    """Without a directory in memory, the binary must not unpack to a disk."""
    refused = subprocess.run(
        [str(binary), '--version'],
        env={_DIRECTORY_VARIABLE: directory} if directory else {},
        capture_output=True,
        text=True,
        check=False,
    )
    assert (refused.returncode, message in refused.stderr) == (2, True)


def test_unpacked_directory_writable_by_others_is_refused(
    binary: Path, memory: Path
) -> None:
    """Other users could replace libraries that the binary would load."""
    command = [str(binary), '--version']
    environment = {_DIRECTORY_VARIABLE: str(memory)}
    subprocess.run(command, env=environment, check=True, capture_output=True)
    (unpacked,) = memory.iterdir()
    unpacked.chmod(0o777)
    refused = subprocess.run(
        command, env=environment, check=False, capture_output=True
    )
    assert refused.returncode == 2


def test_build_without_c_compiler_names_it(tmp_path: Path) -> None:
    """The error must name the missing tool, not end in a traceback."""
    shutil.copy(shutil.which('dirname') or '', tmp_path / 'dirname')
    built = _build(tmp_path / 'bergamotthread', str(tmp_path))
    assert built.returncode == 1
    assert 'cc not found, expected the C tools' in built.stderr
