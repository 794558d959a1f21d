"""Merging of the timelines of many daemons."""

import dataclasses
import re
from collections.abc import Iterable

from tanagerfork.generated import events

NAME_SEPARATOR = re.compile(r"[\s,;:]+")


@dataclasses.dataclass(slots=True, frozen=True)
class EventFilter:
    """Selects events by their fields; an empty field matches all events.

    `kind` is one kind or, without the part after the dot, all kinds of a subject.
    """

    kind: str = ""
    group: str = ""
    vm: str = ""
    request: str = ""
    bundle_version: int = 0
    since_ms: int = 0
    until_ms: int = 0

    def matches(self, event: events.Event) -> bool:
        """Return whether an event matches all fields.

        :param event: event to check.
        """
        return (
            self.kind in ("", event.kind, event.kind.partition(".")[0])
            and self.group in ("", event.group)
            and (not self.vm or self.vm == event.vm or self.vm in _split_names(event.detail))
            and self.request in ("", event.request)
            and self.bundle_version in (0, event.bundle_version)
            and event.wall_ms >= self.since_ms
            and (not self.until_ms or event.wall_ms <= self.until_ms)
        )


def merge_pages(
    pages: Iterable[events.EventPage], event_filter: EventFilter | None = None
) -> list[events.Event]:
    """Merge the events of many daemons; no cause sorts after its effect.

    :param pages: events of each daemon.
    :param event_filter: selects the events to keep; None keeps all.
    :return: events in the order of their hybrid timestamps.
    """
    kept = (
        event
        for page in pages
        for event in page.events
        if event_filter is None or event_filter.matches(event)
    )
    return sorted(kept, key=sort_key)


def sort_key(event: events.Event) -> tuple[int, int, str, int]:
    """Return the sort key of an event.

    :param event: event to sort.
    """
    return event.wall_ms, event.counter, event.daemon, event.sequence


def _split_names(detail: str) -> list[str]:
    return NAME_SEPARATOR.split(detail)
