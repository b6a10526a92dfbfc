"""Limits of teams across entries: from leases of shares and smoothed demand."""
