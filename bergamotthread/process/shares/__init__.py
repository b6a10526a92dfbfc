"""Limits of teams across entries, from leased shares and smoothed demand."""
