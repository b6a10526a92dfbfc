"""Processes of the benchmarks."""

from __future__ import annotations

import asyncio

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
