"""Log of a process: one line for each event on standard error.

Modules log through `absl.logging`. The fields of the running request come
from `log_context`, from `extra` or from the error that is logged.
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
    """What a line is about; empty fields are left out of JSON lines."""

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
    """Add fields to every line that this task logs inside the block."""
    token = _current.set(context)
    with contextlib.ExitStack() as stack:
        stack.callback(_current.reset, token)
        yield


def configure_log(settings: LogSettings, stream: TextIO | None = None) -> None:
    """Send all logs to one stream, standard error unless given."""
    lines: Handler = StreamHandler(stream or sys.stderr)
    lines.setFormatter(_formatter(settings))
    lines.addFilter(_ContextFilter(keep_empty=settings.format == 'text'))
    root.handlers.clear()
    root.addHandler(lines)
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
    """Adds the fields of the context and of a logged error to each record."""

    def __init__(self, *, keep_empty: bool) -> None:
        super().__init__()
        self._keep_empty = keep_empty

    def filter(self, record: LogRecord) -> bool:
        fields = asdict(_current.get())
        if record.exc_info is not None:
            fields.update(_error_fields(record.exc_info[1]))
        for name, found in fields.items():
            if (found or self._keep_empty) and not hasattr(record, name):
                setattr(record, name, found)
        return True


def _error_fields(error: BaseException | None) -> dict[str, str]:
    if isinstance(error, BergamotError):
        return {'step': error.step.value, 'peer': error.peer}
    return {}
