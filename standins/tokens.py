"""Tokens that form a hash chain, and a check of complete answers.

A token is `index:salt:digest `. The salt is drawn for each attempt, since a
real engine samples differently each time. The digest covers the previous
digest, the index and the salt; that of token 0 covers the prompt in place of a
digest. A token that is missing, repeated, or of another attempt or generation
breaks the chain.
"""

from __future__ import annotations

import xxhash


class BrokenAnswerError(AssertionError):
    """An answer is not a complete hash chain of its prompt."""


def first_token(prompt: str, salt: str) -> str:
    """Return token 0 of a generation."""
    return _token(0, salt, prompt)


def next_token(previous: str, salt: str) -> str:
    """Return the token that follows `previous` in an attempt with `salt`."""
    index, _, digest = previous.strip().split(':')
    return _token(int(index) + 1, salt, digest)


def salt_of(token: str) -> str:
    """Return the salt of the attempt that produced a token."""
    return token.strip().split(':')[1]


def verify_answer(prompt: str, text: str, count: int) -> None:
    """Check that `text` is one complete generation of `count` tokens.

    Raises
    ------
    BrokenAnswerError
        If a token is missing, repeated, out of order or of another attempt.
    """
    tokens = [f'{token} ' for token in text.split()]
    if len(tokens) != count:
        raise BrokenAnswerError(f'{len(tokens)} tokens, expected {count}')
    covered = prompt
    for index, token in enumerate(tokens):
        _, salt, digest = token.strip().split(':')
        expected = _token(index, salt, covered)
        if token != expected:
            raise BrokenAnswerError(f'token {index}: {token}, not {expected}')
        covered = digest


def _token(index: int, salt: str, covered: str) -> str:
    chained = f'{covered}/{index}/{salt}'.encode()
    digest = f'{xxhash.xxh64_intdigest(chained):016x}'[:8]
    return f'{index}:{salt}:{digest} '
