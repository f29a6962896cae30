"""Prometheus metrics of the daemon, described in docs/METRICS.md."""

import prometheus_client

_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)

REQUESTS = prometheus_client.Counter(
    "samphirepost_requests", "Online requests ended", ["route", "outcome"]
)
FIRST_TOKEN = prometheus_client.Histogram(
    "samphirepost_first_token_seconds",
    "Time from an online request to its first token",
    ["route"],
    buckets=_BUCKETS_S,
)
DISPATCH = prometheus_client.Histogram(
    "samphirepost_dispatch_seconds",
    "Time from an online request to its dispatch to a target",
    buckets=(0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.025, 0.1, 1.0),
)
TOKENS = prometheus_client.Counter(
    "samphirepost_tokens", "Tokens passed on", ["kind"]
)
RETRIES = prometheus_client.Counter(
    "samphirepost_retries", "Requests sent again", ["route"]
)
RETRIES_DENIED = prometheus_client.Counter(
    "samphirepost_retries_denied", "Retries past the budget", ["route"]
)
DISPATCHES = prometheus_client.Counter(
    "samphirepost_dispatches", "Requests sent to a target", ["target", "kind"]
)
TARGET_FAILURES = prometheus_client.Counter(
    "samphirepost_target_failures", "Failed attempts", ["target", "failure"]
)
STREAMS_OPEN = prometheus_client.Gauge(
    "samphirepost_streams_open", "Requests in progress", ["kind"]
)
ITEMS = prometheus_client.Counter(
    "samphirepost_items", "Batch items ended by this runner", ["state"]
)
ITEMS_PREEMPTED = prometheus_client.Counter(
    "samphirepost_items_preempted", "Batch streams cancelled for online work"
)
BATCH_LIMIT = prometheus_client.Gauge(
    "samphirepost_batch_limit", "Batch sequences allowed", ["target"]
)
COMMITS = prometheus_client.Counter(
    "samphirepost_commits", "Writes to a partition's row", ["result"]
)
RECORDS = prometheus_client.Counter(
    "samphirepost_records", "Ledger records made durable"
)
RESULTS_DROPPED = prometheus_client.Counter(
    "samphirepost_results_dropped", "Results that came after the first"
)
UNSAVED = prometheus_client.Gauge(
    "samphirepost_unsaved", "Results given but not durable yet"
)
PARTITIONS = prometheus_client.Gauge(
    "samphirepost_partitions_owned", "Partitions owned by this daemon"
)
FENCED = prometheus_client.Counter(
    "samphirepost_fenced", "Leases lost to another daemon"
)
TABLES_REVISION = prometheus_client.Gauge(
    "samphirepost_tables_revision", "Revision of the tables in force here"
)
MEMBERS = prometheus_client.Gauge(
    "samphirepost_members", "Live members in this daemon's view"
)
COORDINATING = prometheus_client.Gauge(
    "samphirepost_coordinating", "1 while this daemon coordinates its zone"
)
TARGETS_LEAVING = prometheus_client.Gauge(
    "samphirepost_targets_leaving", "Targets that the platform lists leaving"
)
PEER_ERRORS = prometheus_client.Counter(
    "samphirepost_peer_errors", "Unreadable or failed peer exchanges"
)
PEER_CONNECTIONS_RETIRED = prometheus_client.Counter(
    "samphirepost_peer_connections_retired", "Peer connections abandoned"
)


def text():
    """Returns all metrics in the Prometheus text format, as bytes."""
    return prometheus_client.generate_latest()


CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
