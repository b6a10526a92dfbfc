"""Entry point of `python -m bergamotthread`."""

from __future__ import annotations

from bergamotthread.cli.main import main

main(prog_name='bergamotthread')
