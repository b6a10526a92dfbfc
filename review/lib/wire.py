"""HTTP/1.1 for the stand-ins of this review, on asyncio streams."""

from __future__ import annotations

import asyncio

Headers = dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line and the fields (names in lower case)."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.rstrip('\r\n').split('\r\n')
    fields = (line.partition(':') for line in lines)
    return first, {name.lower(): text.strip() for name, _, text in fields}


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return the body of a request."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a body; empty at its end."""
    line = await reader.readline()
    if not line.endswith(b'\n'):
        raise asyncio.IncompleteReadError(line, None)
    size = int(line.partition(b';')[0], 16)
    chunk = await reader.readexactly(size)
    await reader.readexactly(2)
    return chunk


def encode(first: str, headers: Headers, body: bytes | None = b'') -> bytes:
    """Return a message; without a length if `body` is None."""
    lines = [first, *(f'{name}: {text}' for name, text in headers.items())]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + (body or b'')
