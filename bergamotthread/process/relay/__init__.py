"""Decisions of an entry that talks to upstreams itself.

Where a request goes, what may be sent again, which upstream is taken for lost
and when the process drains. The modules here need no network.
"""
