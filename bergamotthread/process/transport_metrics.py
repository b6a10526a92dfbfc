"""Gauges of the transport between processes."""

from __future__ import annotations

from bergamotthread.connection.zmq_transport import ZmqTransport
from bergamotthread.process.metrics import Metrics


def add_transport_metrics(metrics: Metrics, transport: ZmqTransport) -> None:
    """Add the gauges of `transport` to the metrics of the process."""
    counters = transport.counters
    metrics.gauge(
        'transport_sent',
        'Messages queued for peers since the start.',
        lambda: counters.sent,
    )
    metrics.gauge(
        'transport_received',
        'Messages received since the start.',
        lambda: counters.received,
    )
    metrics.gauge(
        'transport_received_bytes',
        'Bytes of received messages since the start.',
        lambda: counters.received_bytes,
    )
    metrics.gauge(
        'transport_dropped',
        'Messages not queued, since the queue was full, since the start.',
        lambda: counters.dropped,
    )
    metrics.gauge(
        'transport_undecodable',
        'Received messages that were not valid since the start.',
        lambda: counters.undecodable,
    )
    metrics.gauge(
        'transport_refused',
        'Connections refused for their keys since the start.',
        lambda: transport.refused_peers,
    )
    metrics.gauge(
        'transport_open_peers',
        'Peers with an open sending connection.',
        lambda: transport.open_peers,
    )
