"""Requests and answers of the completions API."""

from __future__ import annotations

import msgspec
import xxhash

from bergamotthread.errors import Step
from bergamotthread.request.refusal import ReasonCode, not_run

MAX_TOKENS_LIMIT = 131_072


class CompletionRequest(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Body of `POST /v1/completions`.

    `accepted_tokens` are the tokens that a caller already has; with the cursor
    they allow the generation to resume after both entry and agent are lost.
    `include_tokens` adds the tokens to the text of each event.
    """

    model: str
    prompt: str
    max_tokens: int = 1024
    stream: bool = False
    priority: int = 0
    include_tokens: bool = False
    deadline_ms: int = 0
    accepted_tokens: tuple[str, ...] = ()


class Choice(msgspec.Struct, frozen=True, omit_defaults=True):
    """Text of an answer or of a part of it, as in the completions API."""

    text: str
    index: int = 0
    finish_reason: str | None = None
    tokens: tuple[str, ...] = ()


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a complete answer."""

    prompt_tokens: int
    completion_tokens: int


class CompletionChunk(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of a streamed answer, or a complete answer."""

    id: str
    model: str
    choices: tuple[Choice, ...]
    object: str = 'text_completion'
    usage: Usage | None = None


_decoder = msgspec.json.Decoder(CompletionRequest)


def decode_completion(body: bytes) -> CompletionRequest:
    """Decode the request from a body.

    Raises
    ------
    RefusedError
        If the body is not a valid request or `max_tokens` is out of range.
    """
    try:
        request = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise not_run(
            ReasonCode.BAD_REQUEST,
            str(error),
            Step.DECODE,
        ) from error
    if not 1 <= request.max_tokens <= MAX_TOKENS_LIMIT:
        raise not_run(
            ReasonCode.BAD_REQUEST,
            f'max_tokens is {request.max_tokens}, '
            f'expected 1 to {MAX_TOKENS_LIMIT}',
            Step.DECODE,
        )
    return request


def request_digest(request: CompletionRequest, team: str) -> int:
    """Return the digest of all inputs that determine the answer."""
    parts = msgspec.json.encode(
        (team, request.model, request.prompt, request.max_tokens),
    )
    return xxhash.xxh64_intdigest(parts)
