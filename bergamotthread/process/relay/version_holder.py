"""The version in force in this process; it never goes back."""

from __future__ import annotations

from dataclasses import dataclass

from bergamotthread.version.route_table import RouteTable


@dataclass
class RouteTableHolder:
    """Holds the newest route table."""

    table: RouteTable | None = None

    def offer(self, table: RouteTable) -> bool:
        """Take a table into force if it is newer; return whether it was."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        return True
