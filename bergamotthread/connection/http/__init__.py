"""Both sides of HTTP/1.1 on plain asyncio protocols.

A library server or client decides on its own when to retry, when to close and
which bytes belong to an answer; here each of these is the product's decision.
The parser is `httptools`.
"""
