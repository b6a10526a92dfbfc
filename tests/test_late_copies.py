"""Second copies of answers that arrive where the next answer is expected."""

from __future__ import annotations

import pytest

from bergamotthread.testing.memory_http import MemoryTransport, run_in_memory
from standins.platform_runner import MODEL, PLAIN, REQUEST_ID
from tests.test_unframed_answers import (
    RawRunner,
    _events,
    _request_id,
    _start,
    _unframed_head,
)

_NOT_RUN = (
    b'HTTP/1.1 503 Full\r\n%b: %b\r\nbergamotthread-not-executed: 1\r\n'
    b'content-length: 0\r\n\r\n'
)


class CopyingRunner:
    """Rejects the first sending; a copy of that answer arrives late."""

    def __init__(self) -> None:
        self.ran: list[bytes] = []
        self.rejected = 0
        self._copies: dict[MemoryTransport, bytes] = {}

    def serve(
        self, runner: RawRunner, transport: MemoryTransport, received: bytes
    ) -> None:
        transport.write(self._copies.pop(transport, b''))
        request_id = _request_id(received)
        if not self.rejected:
            self.rejected += 1
            rejection = _NOT_RUN % (REQUEST_ID, request_id)
            self._copies[transport] = rejection
            transport.write(rejection)
            return
        self.ran.append(request_id)
        body = _events(received) if b'/once-stream/' in received else b'whole'
        transport.write(_unframed_head(received) + body)
        transport.close()


# Guards against: a late copy of a rejection that hides the run of the same
# request, which is then sent once more or said not to have run.
@pytest.mark.parametrize(
    ('path', 'service'), [('/once/x', PLAIN), ('/once-stream/x', MODEL)]
)
def test_late_copy_of_a_rejection_hides_no_run(path, service):
    async def check():
        copying = CopyingRunner()
        deployment, _ = await _start(copying.serve, service, others=0)
        answer = await deployment.call(path, method=b'POST')
        assert copying.rejected == 1
        assert answer.status == 200
        assert len(copying.ran) == 1

    run_in_memory(check())
