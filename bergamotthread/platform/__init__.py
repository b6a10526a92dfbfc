"""Adapters between the users' platform and the rest of the package.

Only these modules use the platform's terms, field names and calls.
"""
