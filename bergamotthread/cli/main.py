"""Command line of bergamotthread."""

from __future__ import annotations

import click


@click.group()
@click.version_option(package_name='bergamotthread')
def main() -> None:
    """Serve long model generations on engines that fail."""
