"""Metrics in the Prometheus text format, provided by aioprometheus."""

import collections

import aioprometheus
from aioprometheus import formats
from aioprometheus import histogram

#: Upper bounds of the buckets of the latency histograms, in seconds.
LATENCY_BUCKETS_S = [
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
]


class Tally:
    """Counts by label values, which a counter takes over when rendered.

    The collector checks and encodes all labels at each update, so this is
    done once for each combination and page.
    """

    def __init__(
        self, counter: aioprometheus.Counter, names: tuple[str, ...]
    ) -> None:
        self._counter = counter
        self._names = names
        self._counts: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )

    def inc(self, *values: str) -> None:
        """Add one to the series with these label values."""
        self._counts[values] += 1

    def hand_over(self) -> None:
        """Add the counts since the last call to the counter."""
        counts, self._counts = self._counts, collections.Counter()
        for values, count in counts.items():
            labels = dict(zip(self._names, values, strict=True))
            self._counter.add(labels, count)


class Series:
    """Observations by label values, with each series looked up once."""

    def __init__(
        self, collector: aioprometheus.Histogram, names: tuple[str, ...]
    ) -> None:
        self._collector = collector
        self._names = names
        self._series: dict[tuple[str, ...], histogram.Histogram] = {}

    def observe(self, took: float, *values: str) -> None:
        """Add an observation to the series with these label values."""
        known = self._series.get(values)
        if known is not None:
            known.observe(took)
            return
        labels = dict(zip(self._names, values, strict=True))
        self._collector.observe(labels, took)
        series = self._collector.get_value(labels)
        assert isinstance(series, histogram.Histogram)
        self._series[values] = series


class Metrics:
    """The metrics of the proxy; a process has one instance."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.requests = self._counter(
            'tidegrade_requests_total',
            'Requests answered, by site, tenant, kind, outcome and code.',
        )
        self.reads = self._counter(
            'tidegrade_reads_total',
            'Reads answered, by site and the role of the endpoint.',
        )
        self.tenant_latency = self._histogram(
            'tidegrade_tenant_latency_seconds',
            'Time from a request to its answer, by tenant.',
        )
        self.class_latency = self._histogram(
            'tidegrade_class_latency_seconds',
            'Time from a request to its answer, by read class or kind.',
        )
        self.config_version = self._gauge(
            'tidegrade_config_version', 'Configuration version in force.'
        )
        self.config_age = self._gauge(
            'tidegrade_config_age_seconds',
            'Time since the configuration was known to be the newest.',
        )
        self.connections = self._gauge(
            'tidegrade_endpoint_connections',
            'Connections held, by site, group and endpoint.',
        )
        self.term = self._gauge('tidegrade_group_term', 'Term of each group.')
        self.waiting = self._gauge(
            'tidegrade_group_waiting',
            'Requests that wait for a connection, by group.',
        )
        self.homes = self._gauge(
            'tidegrade_group_homes',
            'Proxies that keep connections to each group.',
        )
        self.requests_in_flight = self._gauge(
            'tidegrade_requests_in_flight', 'Requests not yet answered.'
        )
        self.request_tally = Tally(
            self.requests, ('site', 'tenant', 'kind', 'outcome', 'code')
        )
        self.read_tally = Tally(self.reads, ('site', 'role'))
        self.tenant_series = Series(self.tenant_latency, ('site', 'tenant'))
        self.class_series = Series(self.class_latency, ('class',))

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page and its HTTP headers.

        ``accept`` is the value of the request's ``Accept`` header.
        """
        self.request_tally.hand_over()
        self.read_tally.hand_over()
        content, headers = aioprometheus.render(
            self.registry, [accept] if accept else []
        )
        return content, dict(headers)

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(name, doc, registry=self.registry)

    def _histogram(self, name: str, doc: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            name, doc, registry=self.registry, buckets=LATENCY_BUCKETS_S
        )


#: Content type of the metrics page for requests without an Accept header.
TEXT_TYPE = formats.text.TEXT_CONTENT_TYPE
