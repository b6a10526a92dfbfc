"""Tokens that prove their own order, and the checker of whole answers.

A token is `index:digest `. The first one also carries a nonce that is drawn
for each fresh generation; its digest covers the prompt and the nonce, every
later digest covers the one before. A missing, repeated or foreign token, or
one of a second generation, breaks the chain.
"""

from __future__ import annotations

import xxhash


class BrokenAnswerError(AssertionError):
    """An answer is not the one whole chain of its prompt."""


def first_token(prompt: str, nonce: str) -> str:
    """Return token 0 of a fresh generation."""
    return f'0:{nonce}:{_digest(prompt + nonce)} '


def next_token(previous: str) -> str:
    """Return the token that follows `previous`."""
    parts = previous.strip().split(':')
    index = int(parts[0]) + 1
    return f'{index}:{_digest(parts[-1] + str(index))} '


def verify_answer(prompt: str, text: str, count: int) -> None:
    """Check that `text` is one whole generation of `count` tokens.

    Raises
    ------
    BrokenAnswerError
        If a token is missing, repeated, out of order or of another generation.
    """
    tokens = [f'{token} ' for token in text.split()]
    if len(tokens) != count:
        raise BrokenAnswerError(f'{len(tokens)} tokens, expected {count}')
    if not tokens:
        return
    nonce = tokens[0].split(':')[1]
    expected = first_token(prompt, nonce)
    for index, token in enumerate(tokens):
        if token != expected:
            raise BrokenAnswerError(f'token {index}: {token}, not {expected}')
        expected = next_token(token)


def _digest(text: str) -> str:
    return f'{xxhash.xxh64_intdigest(text.encode()):016x}'[:8]
