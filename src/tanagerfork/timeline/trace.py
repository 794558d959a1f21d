"""Export of the timeline in the Chrome trace event format, for trace viewers."""

from collections.abc import Iterable

import msgspec

from tanagerfork.generated import events
from tanagerfork.timeline import plot

US_PER_MS = 1000
PHASE_INSTANT = "i"
PHASE_COMPLETE = "X"
GROUPS = "groups"
GROUPS_PID = 0
PHASE_METADATA = "M"
SCOPE_PROCESS = "p"


class TraceArguments(msgspec.Struct, omit_defaults=True):
    """Arguments of a trace event."""

    name: str = ""
    detail: str = ""
    vm: str = ""
    request: str = ""
    bundle_version: int = 0


class TraceEvent(msgspec.Struct, omit_defaults=True):
    """One event in the Chrome trace event format."""

    name: str
    ph: str
    pid: int
    tid: int
    ts: int
    dur: int = 0
    s: str = ""
    cat: str = ""
    args: TraceArguments | None = None


class TraceFile(msgspec.Struct):
    """A file in the Chrome trace event format."""

    traceEvents: list[TraceEvent]  # noqa: N815
    displayTimeUnit: str = "ms"  # noqa: N815


def export_trace(ordered: list[events.Event]) -> bytes:
    """Return a trace file with the states of groups as spans and a process for each daemon.

    The process of a daemon has a row for each group and for each other subject.

    :param ordered: events in the order of the merged timeline.
    :return: JSON in the Chrome trace event format.
    """
    daemons = _assign_numbers(event.daemon for event in ordered)
    rows = _assign_numbers(_get_row_name(event) for event in ordered)
    trace_events = [
        TraceEvent("process_name", PHASE_METADATA, pid, 0, 0, args=TraceArguments(name=daemon))
        for daemon, pid in daemons.items()
    ]
    for daemon, row in dict.fromkeys((event.daemon, _get_row_name(event)) for event in ordered):
        arguments = TraceArguments(name=row)
        trace_events.append(
            TraceEvent("thread_name", PHASE_METADATA, daemons[daemon], rows[row], 0, args=arguments)
        )
    origin_ms = ordered[0].wall_ms if ordered else 0
    for event in ordered:
        trace_events.append(
            TraceEvent(
                name=event.kind,
                ph=PHASE_INSTANT,
                pid=daemons[event.daemon],
                tid=rows[_get_row_name(event)],
                ts=(event.wall_ms - origin_ms) * US_PER_MS + event.counter,
                s=SCOPE_PROCESS,
                cat=event.kind.partition(".")[0],
                args=TraceArguments(
                    detail=event.detail,
                    vm=event.vm,
                    request=event.request,
                    bundle_version=event.bundle_version,
                ),
            )
        )
    trace_events.extend(_trace_groups(ordered, origin_ms))
    return msgspec.json.encode(TraceFile(trace_events))


def _trace_groups(ordered: list[events.Event], origin_ms: int) -> Iterable[TraceEvent]:
    spans = plot.find_spans(ordered)
    rows = _assign_numbers(span.group for span in spans)
    yield TraceEvent(
        "process_name", PHASE_METADATA, GROUPS_PID, 0, 0, args=TraceArguments(name=GROUPS)
    )
    for group, row in rows.items():
        arguments = TraceArguments(name=group)
        yield TraceEvent("thread_name", PHASE_METADATA, GROUPS_PID, row, 0, args=arguments)
    for span in spans:
        yield TraceEvent(
            name=span.state,
            ph=PHASE_COMPLETE,
            pid=GROUPS_PID,
            tid=rows[span.group],
            ts=(span.from_ms - origin_ms) * US_PER_MS,
            dur=(span.to_ms - span.from_ms) * US_PER_MS,
            cat=GROUPS,
        )


def _get_row_name(event: events.Event) -> str:
    return event.group or event.kind.partition(".")[0]


def _assign_numbers(names: Iterable[str]) -> dict[str, int]:
    return {name: number for number, name in enumerate(dict.fromkeys(names), 1)}
