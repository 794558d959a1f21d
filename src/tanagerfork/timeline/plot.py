"""Self-contained HTML page that plots the states of groups over time."""

import dataclasses
import datetime
import html
from collections.abc import Iterable

from tanagerfork.generated import events

WIDTH_PX = 1000
LABEL_PX = 260
ROW_PX = 22
BAR_PX = 14
AXIS_PX = 30
TICK_COUNT = 6
MS_PER_S = 1000
UNKNOWN = "unknown"
STATE_BY_KIND = {
    "group.formed": "forming",
    "group.whole": "whole",
    "group.broken": "broken",
    "group.draining": "draining",
    "group.dissolved": "dissolved",
}
COLOUR_BY_STATE = {
    "forming": "#7b8fb5",
    "whole": "#3a8f5c",
    "broken": "#c2452d",
    "draining": "#d9a514",
    "dissolved": "#d0d0d0",
}
STYLE = "body{font:13px sans-serif;margin:16px}text{font:12px sans-serif;fill:#222}"


@dataclasses.dataclass(slots=True, frozen=True)
class Span:
    """A period during which a group stayed in one state."""

    group: str
    state: str
    from_ms: int
    to_ms: int


def find_spans(ordered: list[events.Event]) -> list[Span]:
    """Return the states of all groups over time.

    If several daemons record the same change of a group, the first event counts.

    :param ordered: events in the order of the merged timeline.
    :return: spans, sorted by group and start.
    """
    spans: list[Span] = []
    open_spans: dict[str, tuple[str, int]] = {}
    for event in ordered:
        state = STATE_BY_KIND.get(event.kind)
        if state is None or not event.group:
            continue
        current_state, from_ms = open_spans.get(event.group, (UNKNOWN, event.wall_ms))
        if current_state == state:
            continue
        if current_state != UNKNOWN:
            spans.append(Span(event.group, current_state, from_ms, event.wall_ms))
        open_spans[event.group] = state, event.wall_ms
    end_ms = ordered[-1].wall_ms if ordered else 0
    spans.extend(Span(group, state, at, end_ms) for group, (state, at) in open_spans.items())
    return sorted(spans, key=lambda span: (span.group, span.from_ms))


def plot_groups(ordered: list[events.Event]) -> str:
    """Return a page with one row for each group.

    :param ordered: events in the order of the merged timeline.
    :return: HTML with inline SVG, which loads no other resource.
    """
    spans = find_spans(ordered)
    groups = list(dict.fromkeys(span.group for span in spans))
    from_ms = min((span.from_ms for span in spans), default=0)
    to_ms = max((span.to_ms for span in spans), default=0)
    height_px = AXIS_PX + ROW_PX * len(groups)
    scale = (WIDTH_PX - LABEL_PX) / max(1, to_ms - from_ms)
    parts = [*_draw_axis(from_ms, to_ms, height_px), *_draw_labels(groups)]
    for span in spans:
        parts.append(_draw_span(span, groups.index(span.group), from_ms, scale))
    legend = " ".join(
        f'<span style="color:{colour}">&#9632;</span> {state}'
        for state, colour in COLOUR_BY_STATE.items()
    )
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>Groups over time</title>'
        f"<style>{STYLE}</style><h1>Groups over time</h1><p>{legend}</p>"
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH_PX}" height="{height_px}" '
        f'role="img">{"".join(parts)}</svg></html>\n'
    )


def _draw_axis(from_ms: int, to_ms: int, height_px: int) -> Iterable[str]:
    for tick in range(TICK_COUNT):
        x = LABEL_PX + (WIDTH_PX - LABEL_PX) * tick / TICK_COUNT
        at_ms = from_ms + (to_ms - from_ms) * tick // TICK_COUNT
        yield f'<line x1="{x:.1f}" y1="{AXIS_PX - 8}" x2="{x:.1f}" y2="{height_px}" stroke="#ddd"/>'
        yield f'<text x="{x:.1f}" y="14">{_format_clock(at_ms)}</text>'


def _draw_labels(groups: list[str]) -> Iterable[str]:
    for row, group in enumerate(groups):
        y = AXIS_PX + ROW_PX * row + BAR_PX - 2
        yield f'<text x="0" y="{y}">{html.escape(group)}</text>'


def _draw_span(span: Span, row: int, from_ms: int, scale: float) -> str:
    x = LABEL_PX + (span.from_ms - from_ms) * scale
    width = max(1.0, (span.to_ms - span.from_ms) * scale)
    y = AXIS_PX + ROW_PX * row
    seconds = (span.to_ms - span.from_ms) / MS_PER_S
    title = html.escape(f"{span.group}: {span.state} for {seconds:.1f} s")
    return (
        f'<rect x="{x:.1f}" y="{y}" width="{width:.1f}" height="{BAR_PX}" '
        f'fill="{COLOUR_BY_STATE[span.state]}"><title>{title}</title></rect>'
    )


def _format_clock(wall_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(wall_ms / MS_PER_S, datetime.UTC)
    return f"{moment:%H:%M:%S}"
