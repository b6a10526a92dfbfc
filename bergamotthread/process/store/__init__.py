"""Durable storage: interfaces, client and document checks."""
