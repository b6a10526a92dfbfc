"""Runs the command line."""

from __future__ import annotations

from bergamotthread.cli.main import main

main(prog_name='bergamotthread')
