import asyncio

from bergamotthread.clock import Clock
from bergamotthread.connection.zmq_transport import ZmqTransport
from bergamotthread.process.metrics import Metrics
from bergamotthread.process.settings import KeySettings, PlaceSettings
from bergamotthread.process.transport_metrics import add_transport_metrics
from bergamotthread.wire.messages import Cancel


def test_transport_counters_are_exposed() -> None:
    async def main() -> str:
        clock = Clock.from_system()
        transport = ZmqTransport.from_settings(
            PlaceSettings('127.0.0.1:0', 'cuyo', 'cuyo-a'), KeySettings(), clock
        )
        metrics = Metrics(clock)
        add_transport_metrics(metrics, transport)
        transport.send('127.0.0.1:9', Cancel('g', 1))
        transport.send('no address', Cancel('g', 1))
        shown = metrics.expose()
        transport.close()
        return shown

    lines = asyncio.run(main()).splitlines()
    for line in (
        'transport_sent 1',
        'transport_dropped 1',
        'transport_refused 0',
        'transport_open_peers 1',
    ):
        assert line in lines
