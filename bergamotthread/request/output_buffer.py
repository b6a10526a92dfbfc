"""Output of one attempt, buffered at its agent."""

from __future__ import annotations

from dataclasses import dataclass, field

from bergamotthread.wire.messages import Dispatch, EndMark, Frame


@dataclass(eq=False)
class OutputBuffer:
    """Tokens of one attempt from offset 0 on, and their subscriber.

    The tokens begin with the accepted ones in the dispatch, so that another
    entry can fetch the complete answer from this buffer.
    """

    dispatch: Dispatch
    subscriber: str
    heard_ms: float
    tokens: list[str] = field(default_factory=list)
    end: EndMark | None = None
    is_end_sent: bool = False
    sent_tokens: int = 0
    acknowledged_tokens: int = 0
    ended_ms: float = 0

    @classmethod
    def from_dispatch(
        cls,
        dispatch: Dispatch,
        subscriber: str,
        now_ms: float,
    ) -> OutputBuffer:
        """Return the buffer of an attempt that is about to start."""
        tokens = list(dispatch.accepted)
        return cls(
            dispatch=dispatch,
            subscriber=subscriber,
            heard_ms=now_ms,
            tokens=tokens,
            sent_tokens=len(tokens),
            acknowledged_tokens=len(tokens),
        )

    @property
    def unacknowledged_tokens(self) -> int:
        """Return the number of tokens that are not acknowledged."""
        return len(self.tokens) - self.acknowledged_tokens

    def finish(self, end: EndMark, now_ms: float) -> None:
        """Set the end mark; a second one is ignored."""
        if self.end is None:
            self.end = end
            self.ended_ms = now_ms

    def resubscribe(self, subscriber: str, offset: int, now_ms: float) -> None:
        """Change the subscriber, to which output from `offset` on is sent."""
        self.subscriber = subscriber
        self.sent_tokens = min(offset, len(self.tokens))
        self.acknowledged_tokens = self.sent_tokens
        self.is_end_sent = False
        self.heard_ms = now_ms

    def acknowledge(self, offset: int, now_ms: float) -> None:
        """Record that the subscriber's caller has read up to `offset`."""
        self.heard_ms = now_ms
        acknowledged = min(offset, len(self.tokens))
        self.acknowledged_tokens = max(self.acknowledged_tokens, acknowledged)

    def take_frame(self) -> Frame | None:
        """Return the output that was not yet sent, or None if there is none."""
        end = None if self.is_end_sent else self.end
        if self.sent_tokens == len(self.tokens) and end is None:
            return None
        frame = Frame(
            self.dispatch.generation,
            self.dispatch.attempt,
            self.sent_tokens,
            tuple(self.tokens[self.sent_tokens :]),
            end,
        )
        self.sent_tokens = len(self.tokens)
        self.is_end_sent = end is not None or self.is_end_sent
        return frame
