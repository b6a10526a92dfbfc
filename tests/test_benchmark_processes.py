"""Processes of the benchmarks."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time

import psutil
import pytest

from benchmarks import data_path_processes


def test_process_whose_start_fails_is_stopped(monkeypatch):
    """A process that did not become ready outlived the benchmark."""

    async def fail(port: int, path: str) -> None:
        raise TimeoutError

    monkeypatch.setattr(data_path_processes, '_until_ready', fail)
    with pytest.raises(TimeoutError):
        asyncio.run(data_path_processes.start_engine(10))
    children = psutil.Process().children()
    alive = [child for child in children if child.status() != 'zombie']
    for child in alive:
        child.kill()
    assert alive == []


def test_terminated_benchmark_leaves_no_process():
    """SIGTERM ended the benchmark at once, and its processes stayed."""
    benchmark = subprocess.Popen(
        [sys.executable, '-m', 'benchmarks.soak', '--minutes', '5'],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    benchmark_process = psutil.Process(benchmark.pid)
    children = []
    while len(children) < 3:
        time.sleep(0.1)
        assert benchmark.poll() is None
        children = benchmark_process.children()
    benchmark.terminate()
    benchmark.wait(60)
    _, alive = psutil.wait_procs(children, timeout=10)
    for child in alive:
        child.kill()
    assert alive == []
