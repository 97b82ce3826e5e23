"""OpenTelemetry metrics, scraped in the Prometheus format.

Calls record nothing in the instruments: every instrument is observable and
reads the tallies of the workers when it is scraped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest
from prometheus_client.core import HistogramMetricFamily

from wagtaildale.telemetry.tallies import BUCKET_BOUNDS_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from wagtaildale.telemetry.tallies import ClassTally, Tallies

METER_NAME: Final = 'wagtaildale'
DURATION_NAME: Final = 'wagtaildale_call_duration_seconds'
CLASS_LABEL: Final = 'work_class'


class DurationCollector:
    """Prometheus collector of the workers' histograms of call durations."""

    def __init__(self, tallies: Tallies) -> None:
        """Create a collector.

        Args:
            tallies: tallies of all workers.
        """
        self._tallies = tallies

    def collect(self) -> Iterator[HistogramMetricFamily]:
        """Collect one histogram for each class.

        Yields:
            Metric family with the histograms of all classes.
        """
        family = HistogramMetricFamily(
            DURATION_NAME,
            'Time from the arrival of a call at its entry to its answer.',
            labels=[CLASS_LABEL],
        )
        for name, tally in self._tallies.sum_up().items():
            family.add_metric([name], _sum_buckets(tally), tally.seconds)
        yield family


class Metrics:
    """Instruments of one node."""

    def __init__(self, tallies: Tallies, *, instance: str) -> None:
        """Create the instruments of calls.

        Args:
            tallies: tallies of all workers.
            instance: instance of the node, used as a resource attribute.
        """
        self._tallies = tallies
        resource = Resource.create({'service.instance.id': instance})
        provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()],
            resource=resource,
        )
        self._meter = provider.get_meter(METER_NAME)
        REGISTRY.register(DurationCollector(tallies))
        self._meter.create_observable_counter(
            'wagtaildale.calls',
            callbacks=[self._observe_calls],
            unit='{call}',
            description='Calls by class and outcome.',
        )
        self._meter.create_observable_counter(
            'wagtaildale.attempts',
            callbacks=[self._observe_attempts],
            unit='{attempt}',
            description='Attempts beyond the first of a call, by reason.',
        )

    def add_gauge(
        self,
        name: str,
        read: Callable[[], float],
        *,
        unit: str,
        description: str,
    ) -> None:
        """Add a gauge that is read when scraped.

        Args:
            name: name of the gauge in OpenTelemetry's form.
            read: function that returns the current value.
            unit: unit of the value in UCUM notation.
            description: description for readers.
        """
        self._meter.create_observable_gauge(
            name,
            callbacks=[_GaugeCallback(read)],
            unit=unit,
            description=description,
        )

    def write_page(self) -> bytes:
        """Write the response to a scrape.

        Returns:
            Metrics in the Prometheus text format.
        """
        return generate_latest(REGISTRY)

    def _observe_calls(
        self,
        options: CallbackOptions,
    ) -> Iterable[Observation]:
        for name, tally in self._tallies.sum_up().items():
            for outcome in ('answered', 'in_time', 'not_run', 'unknown'):
                yield Observation(
                    getattr(tally, outcome),
                    {CLASS_LABEL: name, 'outcome': outcome},
                )

    def _observe_attempts(
        self,
        options: CallbackOptions,
    ) -> Iterable[Observation]:
        for name, tally in self._tallies.sum_up().items():
            for reason in ('retried', 'redirected', 'hedged', 'no_free_slot'):
                yield Observation(
                    getattr(tally, reason),
                    {CLASS_LABEL: name, 'reason': reason},
                )


class _GaugeCallback:
    """OpenTelemetry callback that reads the value of one gauge."""

    def __init__(self, read: Callable[[], float]) -> None:
        self._read = read

    def __call__(self, options: CallbackOptions) -> Iterable[Observation]:
        return (Observation(self._read()),)


def _sum_buckets(tally: ClassTally) -> list[tuple[str, float]]:
    total = 0
    buckets: list[tuple[str, float]] = []
    bounds = [*(str(bound) for bound in BUCKET_BOUNDS_SECONDS), '+Inf']
    for bound, count in zip(bounds, tally.buckets, strict=True):
        total += count
        buckets.append((bound, total))
    return buckets
