"""Prometheus metrics of the entry daemon."""

import functools

import prometheus_client

from samphirepost import memorybudget

# Organisations with a label of their own; others are counted together.
ORGANISATION_LABELS_MAX = 200
OTHER_ORGANISATIONS = "(other)"

_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)


class Metrics:
    """All metrics of one daemon, in a registry of its own."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self._organisations = set()
        self.requests = self._counter(
            "requests", "Online requests ended", ["route", "outcome"]
        )
        self.attempts = self._counter(
            "attempts", "Attempts at engines ended", ["outcome"]
        )
        self.store_calls = self._counter(
            "store_calls", "Calls to the store", ["call", "result"]
        )
        self.jobs = self._counter(
            "jobs", "Decisions about batch jobs", ["decision"]
        )
        self.items = self._counter(
            "items", "Runs of batch items ended", ["outcome"]
        )
        self.slots = self._counter(
            "slot_requests", "Requests to the hub for a slot", ["result"]
        )
        self.quarantine_refusals = self._counter(
            "quarantine_refusals",
            "Requests and items with a quarantined part of a prompt",
            ["kind"],
        )
        self.stream_refusals = prometheus_client.Counter(
            "samphirepost_stream_refusals",
            "Streams not taken up as their version is not known",
            registry=self.registry,
        )
        self.key_refusals = self._counter(
            "key_refusals",
            "Requests refused for their key: 401 unknown, 503 not certain",
            ["status"],
        )
        self.quota_refusals = prometheus_client.Counter(
            "samphirepost_quota_refusals",
            "Requests refused as their organisation's quota is used up",
            registry=self.registry,
        )
        self.caller_refusals = self._counter(
            "caller_refusals",
            "Connections refused or cut by a listener's limits or memory",
            ["listener", "kind"],
        )
        self.organisation_requests = self._counter(
            "organisation_requests",
            "Online requests ended, by organisation",
            ["organisation", "outcome"],
        )
        self.relayed = self._counter(
            "relayed_runs",
            "Runs sent through a peer, or relayed for one",
            ["for", "result"],
        )
        self.unframed = self._counter(
            "unframed_answers",
            "Online answers that ended with the engine's connection",
            ["result"],
        )
        self.item_ends = self._counter(
            "item_ends",
            "Items done, by whether an engine's framed answer ended them",
            ["end"],
        )
        self.no_path = prometheus_client.Counter(
            "samphirepost_no_path_refusals",
            "Requests refused as neither this VM nor a peer reaches engines",
            registry=self.registry,
        )
        self.path_doubts = self._gauge(
            "path_doubts", "1 while this VM may reach no engine itself"
        )
        self.preemptions = prometheus_client.Counter(
            "samphirepost_preemptions",
            "Batch items stopped for online requests",
            registry=self.registry,
        )
        self.first_event = prometheus_client.Histogram(
            "samphirepost_first_event_seconds",
            "Time from a request to its first event",
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.memory_held = prometheus_client.Gauge(
            "samphirepost_memory_held_bytes",
            "Bytes that are kept for others, by kind",
            ["kind"],
            registry=self.registry,
        )
        self.memory_refusals = prometheus_client.Gauge(
            "samphirepost_memory_refusals",
            "Times that no memory was free, by kind",
            ["kind"],
            registry=self.registry,
        )
        self.running = self._gauge("running", "Online requests in progress")
        self.held_jobs = self._gauge("held_jobs", "Batch jobs held")
        self.revision = self._gauge("revision", "Revision of the tables")
        self.engines = self._gauge("engines", "Engines listed")
        self.registry_age = self._gauge(
            "registry_age_seconds", "Age of the list of engines"
        )

    def show_budget(self, budget):
        """Shows what a memorybudget.Budget holds and has refused."""
        for kind in memorybudget.Kind:
            self.memory_held.labels(kind.value).set_function(
                functools.partial(budget.held, kind)
            )
            self.memory_refusals.labels(kind.value).set_function(
                functools.partial(budget.refused.get, kind)
            )

    def count_organisation(self, organisation, outcome):
        """Counts a request; many organisations share one label."""
        names = self._organisations
        if organisation not in names:
            if len(names) >= ORGANISATION_LABELS_MAX:
                organisation = OTHER_ORGANISATIONS
            names.add(organisation)
        self.organisation_requests.labels(organisation, outcome).inc()

    def _counter(self, name, help_text, labels):
        return prometheus_client.Counter(
            f"samphirepost_{name}", help_text, labels, registry=self.registry
        )

    def _gauge(self, name, help_text):
        return prometheus_client.Gauge(
            f"samphirepost_{name}", help_text, registry=self.registry
        )

    def render(self):
        """Returns the metrics in the Prometheus text format (bytes)."""
        return prometheus_client.generate_latest(self.registry)
