"""Logging of a process: one line per event, on standard error.

Modules log through `absl.logging`. The request fields of a line come from
`extra`, from the logged error or from `log_context`, in this order.
"""

from __future__ import annotations

import contextlib
import contextvars
import sys
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from logging import Filter, Formatter, Handler, LogRecord, StreamHandler, root
from typing import TextIO

from absl import logging
from pythonjsonlogger.json import JsonFormatter

from bergamotthread.errors import BergamotError
from bergamotthread.process.settings import LogSettings

_JSON_FIELDS = ('levelname', 'name', 'message')
_RENAMED = {'levelname': 'level', 'name': 'logger', 'exc_info': 'error'}
_TEXT_FORMAT = (
    '%(asctime)s %(levelname)s %(message)s '
    '[request=%(request_id)s attempt=%(attempt)s step=%(step)s peer=%(peer)s]'
)


@dataclass(frozen=True)
class LogContext:
    """Request fields of a log line; JSON lines omit empty fields."""

    request_id: str = ''
    attempt: int = 0
    step: str = ''
    peer: str = ''


_NO_CONTEXT = LogContext()
_current: contextvars.ContextVar[LogContext] = contextvars.ContextVar(
    'log_context',
    default=_NO_CONTEXT,
)


@contextlib.contextmanager
def log_context(context: LogContext) -> Iterator[None]:
    """Add fields to every line that this task logs within the block."""
    token = _current.set(context)
    with contextlib.ExitStack() as stack:
        stack.callback(_current.reset, token)
        yield


def configure_log(settings: LogSettings, stream: TextIO | None = None) -> None:
    """Send all log lines to one stream, by default standard error."""
    stream_handler: Handler = StreamHandler(stream or sys.stderr)
    stream_handler.setFormatter(_formatter(settings))
    stream_handler.addFilter(
        _ContextFilter(keep_empty=settings.format == 'text')
    )
    root.handlers.clear()
    root.addHandler(stream_handler)
    root.setLevel(settings.level.upper())
    logging.get_absl_logger().setLevel(settings.level.upper())
    logging.set_verbosity(settings.level)


def _formatter(settings: LogSettings) -> Formatter:
    if settings.format == 'json':
        return JsonFormatter(
            _JSON_FIELDS,
            rename_fields=_RENAMED,
            timestamp='time',
        )
    return Formatter(_TEXT_FORMAT)


class _ContextFilter(Filter):
    """Adds fields of the context and the logged error to each record."""

    def __init__(self, *, keep_empty: bool) -> None:
        super().__init__()
        self._keep_empty = keep_empty

    def filter(self, record: LogRecord) -> bool:
        fields = asdict(_current.get())
        if record.exc_info is not None:
            fields.update(_error_fields(record.exc_info[1]))
        for name, text in fields.items():
            if (text or self._keep_empty) and not hasattr(record, name):
                setattr(record, name, text)
        return True


def _error_fields(error: BaseException | None) -> dict[str, str]:
    if isinstance(error, BergamotError):
        return {'step': error.step.value, 'peer': error.peer}
    return {}
