"""The two measures, group downtime and stranded accelerators, of one daemon's failure domain.

Group downtime counts, for each model, the groups that the bundle in force requests in the failure
domain but that are not serving. A stranded accelerator belongs to a VM that is listed, is not
leaving, sends reports and is a member of no serving group; accelerators of reserves are stranded.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence

from tanagerfork import metrics as metric
from tanagerfork.generated import bundle, engine
from tanagerfork.groups import directory, presence

MAX_SAMPLE_GAP_MS = 5_000  # In a longer gap this process was paused and observed nothing.
MS_PER_S = 1000
SERVING_STATES = (presence.GroupState.WHOLE, presence.GroupState.DRAINING)


@dataclasses.dataclass(slots=True, frozen=True)
class Sample:
    """State of a failure domain at one time, as far as the measures count it."""

    down_groups: int = 0
    down_names: tuple[str, ...] = ()
    live_accelerators: int = 0
    stranded_accelerators: int = 0


def take_sample(
    failure_domain: str,
    models: Iterable[bundle.Model],
    views: Sequence[presence.GroupView],
    vms: Iterable[engine.VmEntry],
    is_reporting: Callable[[str], bool],
) -> Sample:
    """Count groups that are down and stranded accelerators at one time.

    :param failure_domain: failure domain.
    :param models: models of the bundle in force.
    :param views: groups of the failure domain.
    :param vms: the platform's VM list, which lags.
    :param is_reporting: whether a VM, by its name, has a report that is still valid.
    :return: the sample.
    """
    serving = [view for view in views if view.state in SERVING_STATES]
    counts = collections.Counter(view.record.model for view in serving)
    members = {vm for view in serving for vm in view.record.members}
    live = [vm for vm in vms if not vm.leaving and is_reporting(vm.vm)]
    return Sample(
        down_groups=sum(
            max(0, _count_requested(model, failure_domain) - counts[model.name]) for model in models
        ),
        down_names=tuple(view.record.group for view in views if view.state not in SERVING_STATES),
        live_accelerators=sum(vm.accelerators for vm in live),
        stranded_accelerators=sum(vm.accelerators for vm in live if vm.vm not in members),
    )


class Measures:
    """Integrates the samples over time."""

    __slots__ = (
        "latest",
        "group_downtime_ms",
        "stranded_accelerator_ms",
        "unmeasured_ms",
        "_downtime_by_group_ms",
        "_sampled_at_ms",
    )

    def __init__(self) -> None:
        self.latest = Sample()
        self.group_downtime_ms = 0
        self.stranded_accelerator_ms = 0
        self.unmeasured_ms = 0
        self._downtime_by_group_ms: dict[str, int] = {}
        self._sampled_at_ms: int | None = None

    @property
    def downtime_by_group_ms(self) -> Mapping[str, int]:
        """Time that each group of the layout was not serving."""
        return self._downtime_by_group_ms

    def update(
        self,
        failure_domain: str,
        models: Iterable[bundle.Model],
        groups: directory.GroupDirectory,
        now_ms: int,
    ) -> None:
        """Sample a failure domain and add the time since the previous sample.

        :param failure_domain: failure domain.
        :param models: models of the bundle in force.
        :param groups: groups and VMs as this daemon knows them.
        :param now_ms: monotonic clock, in milliseconds.
        """
        views = groups.views(now_ms)
        sample = take_sample(
            failure_domain,
            models,
            views,
            groups.vms,
            lambda vm: groups.is_reporting(vm, now_ms),
        )
        self.advance(sample, [view.record.group for view in views], now_ms)

    def advance(self, sample: Sample, groups: Iterable[str], now_ms: int) -> None:
        """Add the time since the previous sample, weighted by it, and keep the new sample.

        :param sample: current sample of the failure domain.
        :param groups: groups of the layout; the downtimes of others are removed.
        :param now_ms: monotonic clock, in milliseconds.
        """
        elapsed_ms = now_ms - self._sampled_at_ms if self._sampled_at_ms is not None else 0
        self._sampled_at_ms = now_ms
        if elapsed_ms > MAX_SAMPLE_GAP_MS:
            self.unmeasured_ms += elapsed_ms
            elapsed_ms = 0
        self.group_downtime_ms += elapsed_ms * self.latest.down_groups
        self.stranded_accelerator_ms += elapsed_ms * self.latest.stranded_accelerators
        downtimes_ms = {name: self._downtime_by_group_ms.get(name, 0) for name in groups}
        for name in self.latest.down_names:
            if name in downtimes_ms:
                downtimes_ms[name] += elapsed_ms
        self._downtime_by_group_ms = downtimes_ms
        self.latest = sample

    def export(self, failure_domain: str, metrics: metric.Metrics) -> None:
        """Set the metrics of the two measures.

        :param failure_domain: failure domain.
        :param metrics: metrics of the daemon.
        """
        domain = failure_domain
        metrics.set_counter(
            "group_downtime_seconds_total", self.group_downtime_ms / MS_PER_S, failure_domain=domain
        )
        metrics.set_counter(
            "stranded_accelerator_seconds_total",
            self.stranded_accelerator_ms / MS_PER_S,
            failure_domain=domain,
        )
        metrics.set_counter(
            "unmeasured_seconds_total", self.unmeasured_ms / MS_PER_S, failure_domain=domain
        )
        metrics.set_gauge("groups_down", self.latest.down_groups, failure_domain=domain)
        metrics.set_gauge("accelerators", self.latest.live_accelerators, failure_domain=domain)
        metrics.set_gauge(
            "stranded_accelerators", self.latest.stranded_accelerators, failure_domain=domain
        )


def _count_requested(model: bundle.Model, failure_domain: str) -> int:
    return sum(item.groups for item in model.placement if item.failure_domain == failure_domain)
