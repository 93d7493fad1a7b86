"""Metrics of the flow balancer and flow agent processes."""

from anvilthread.flow_node.flow_metrics import FlowMetrics
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.latency_buckets import LatencyBuckets


def test_render() -> None:
    """Guards against counts that a scrape loses or adds twice."""
    counters = FlowCounters()
    latencies = LatencyBuckets()
    metrics = FlowMetrics(
        counters=counters,
        latencies={'anvilthread_answer_seconds': latencies},
        gauges={'anvilthread_flows': lambda: 7},
    )
    counters.add('flow_placed', 3)
    for latency_ms in (5, 20, 9000):
        latencies.observe(latency_ms)
    metrics.render()
    counters.add('flow_placed')
    text = metrics.render().decode()
    assert 'anvilthread_flow_events_total{event="flow_placed"} 4' in text
    assert 'anvilthread_flows 7' in text
    assert 'anvilthread_answer_seconds_bucket{le="0.005"} 1' in text
    assert 'anvilthread_answer_seconds_bucket{le="0.025"} 2' in text
    assert 'anvilthread_answer_seconds_bucket{le="+Inf"} 3' in text
    assert 'anvilthread_answer_seconds_count 3' in text
    assert 'anvilthread_answer_seconds_sum 9.025' in text
