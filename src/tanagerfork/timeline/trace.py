"""Export of the time line as a trace file that browsers' trace viewers open."""

from collections.abc import Iterable

import msgspec

from tanagerfork.generated import events
from tanagerfork.timeline import plot

US_PER_MS = 1000
INSTANT = "i"
SPAN = "X"
GROUPS = "groups"
GROUPS_PID = 0
NAME = "M"
DAEMON_SCOPE = "p"


class TraceArguments(msgspec.Struct, omit_defaults=True):
    """Details of a trace event."""

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
    """Return a trace file: the groups' states as spans, then a process for each daemon.

    In a daemon's process there is a row for each group and each other subject.

    :param ordered: events in the order of the merged time line.
    :return: JSON in the Chrome trace event format.
    """
    daemons = _number(event.daemon for event in ordered)
    rows = _number(_name_row(event) for event in ordered)
    traced = [
        TraceEvent("process_name", NAME, pid, 0, 0, args=TraceArguments(name=daemon))
        for daemon, pid in daemons.items()
    ]
    for daemon, row in dict.fromkeys((event.daemon, _name_row(event)) for event in ordered):
        arguments = TraceArguments(name=row)
        traced.append(
            TraceEvent("thread_name", NAME, daemons[daemon], rows[row], 0, args=arguments)
        )
    origin_ms = ordered[0].wall_ms if ordered else 0
    for event in ordered:
        traced.append(
            TraceEvent(
                name=event.kind,
                ph=INSTANT,
                pid=daemons[event.daemon],
                tid=rows[_name_row(event)],
                ts=(event.wall_ms - origin_ms) * US_PER_MS + event.counter,
                s=DAEMON_SCOPE,
                cat=event.kind.partition(".")[0],
                args=TraceArguments(
                    detail=event.detail,
                    vm=event.vm,
                    request=event.request,
                    bundle_version=event.bundle_version,
                ),
            )
        )
    traced.extend(_trace_groups(ordered, origin_ms))
    return msgspec.json.encode(TraceFile(traced))


def _trace_groups(ordered: list[events.Event], origin_ms: int) -> Iterable[TraceEvent]:
    spans = plot.find_spans(ordered)
    rows = _number(span.group for span in spans)
    yield TraceEvent("process_name", NAME, GROUPS_PID, 0, 0, args=TraceArguments(name=GROUPS))
    for group, row in rows.items():
        arguments = TraceArguments(name=group)
        yield TraceEvent("thread_name", NAME, GROUPS_PID, row, 0, args=arguments)
    for span in spans:
        yield TraceEvent(
            name=span.state,
            ph=SPAN,
            pid=GROUPS_PID,
            tid=rows[span.group],
            ts=(span.from_ms - origin_ms) * US_PER_MS,
            dur=(span.to_ms - span.from_ms) * US_PER_MS,
            cat=GROUPS,
        )


def _name_row(event: events.Event) -> str:
    return event.group or event.kind.partition(".")[0]


def _number(names: Iterable[str]) -> dict[str, int]:
    return {name: number for number, name in enumerate(dict.fromkeys(names), 1)}
