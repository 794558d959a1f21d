"""Records state changes of groups on the timeline."""

from tanagerfork.groups import presence
from tanagerfork.timeline import kinds, ring

KINDS = {
    presence.GroupState.FORMING: kinds.EventKind.GROUP_FORMED,
    presence.GroupState.WHOLE: kinds.EventKind.GROUP_WHOLE,
    presence.GroupState.BROKEN: kinds.EventKind.GROUP_BROKEN,
    presence.GroupState.DRAINING: kinds.EventKind.GROUP_DRAINING,
    presence.GroupState.DISSOLVED: kinds.EventKind.GROUP_DISSOLVED,
}


def record_change(
    timeline: ring.Timeline, view: presence.GroupView, before: presence.GroupState | None
) -> None:
    """Record a state change of a group.

    :param timeline: timeline of this daemon.
    :param view: group with its new state.
    :param before: previous state, None for a new group.
    """
    missing = ", ".join(view.missing)
    detail = f"was {before or 'new'}" + (f"; missing: {missing}" if missing else "")
    timeline.record(KINDS[view.state], detail, group=view.record.group)
