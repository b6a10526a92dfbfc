"""Log lines carry the fields of their request and respect the level."""

import io
import json
from collections.abc import Iterator
from logging import root

import pytest
from absl import logging

from bergamotthread.errors import DecodeError, Step
from bergamotthread.process.log import LogContext, configure_log, log_context
from bergamotthread.process.settings import LogSettings


@pytest.fixture
def stream() -> Iterator[io.StringIO]:
    handlers, level = root.handlers[:], root.level
    yield io.StringIO()
    root.handlers[:] = handlers
    root.setLevel(level)
    logging.set_verbosity(logging.WARNING)


def _lines(stream: io.StringIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_json_line_has_the_context_of_its_block_only(
    stream: io.StringIO,
) -> None:
    configure_log(LogSettings(), stream)
    with log_context(LogContext('req-1', 2, 'dispatch', '10.0.0.1:7')):
        logging.info('sent\n%s', 'twice')
    logging.warning('after')
    first, second = _lines(stream)
    assert first.pop('time')
    assert first == {
        'level': 'INFO',
        'logger': 'absl',
        'message': 'sent\ntwice',
        'request_id': 'req-1',
        'attempt': 2,
        'step': 'dispatch',
        'peer': '10.0.0.1:7',
    }
    assert 'request_id' not in second


def test_logged_error_adds_its_step_and_peer(stream: io.StringIO) -> None:
    configure_log(LogSettings(), stream)
    try:
        raise DecodeError('bad', step=Step.DECODE, peer='10.0.0.2:7')
    except DecodeError:
        logging.exception('receiver failed')
    (line,) = _lines(stream)
    assert (line['step'], line['peer']) == ('decode', '10.0.0.2:7')
    assert 'Traceback' in str(line['error'])


def test_extra_overrides_the_context(stream: io.StringIO) -> None:
    configure_log(LogSettings(), stream)
    with log_context(LogContext(peer='one')):
        logging.warning('refused', extra={'peer': 'other'})
    assert _lines(stream)[0]['peer'] == 'other'


@pytest.mark.parametrize(('level', 'count'), [('info', 2), ('error', 1)])
def test_lines_below_the_level_are_dropped(
    stream: io.StringIO, level: str, count: int
) -> None:
    configure_log(LogSettings(format='text', level=level), stream)
    logging.info('one')
    logging.error('two')
    assert len(stream.getvalue().splitlines()) == count
    assert 'request=' in stream.getvalue()
