"""HTTP/1.1 server and client on plain asyncio protocols.

A server or client library decides by itself when to retry, when to close a
connection and which bytes belong to an answer. A relay must control all of
these, so only the parser (`httptools`) comes from a library.
"""
