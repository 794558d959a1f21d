"""Bounds on callers: from the limits of the configuration in force, and of the VM."""

from tanagerfork.front import bounds
from tanagerfork.relay import rules

HANDOVER_BYTES = 2048  # Headers that a daemon adds to a request that it hands over.


class RulesBounds:
    """Bounds of the rules in force; the defaults while there are none. See `bounds.BoundsSource`.

    A limit of 0 or less would refuse every request, so that the default is in force in its place.

    :param register: rules in force.
    :param added_header_bytes: headers that another daemon adds.
    """

    __slots__ = ("_register", "_added_header_bytes", "_limits", "_bounds")

    def __init__(self, register: rules.RulesRegister, added_header_bytes: int = 0) -> None:
        self._register = register
        self._added_header_bytes = added_header_bytes
        self._limits: rules.CallerLimits | None = None
        self._bounds = self._make_bounds(None)

    @property
    def current(self) -> bounds.RequestBounds:
        """The bounds for the next request."""
        in_force = self._register.current
        limits = in_force.limits if in_force is not None else None
        if limits is not self._limits:
            self._limits, self._bounds = limits, self._make_bounds(limits)
        return self._bounds

    def _make_bounds(self, limits: rules.CallerLimits | None) -> bounds.RequestBounds:
        limits = limits or rules.CallerLimits(0, 0, 0, 0)
        header_bytes = limits.header_bytes if limits.header_bytes > 0 else bounds.HEADER_BYTES
        return bounds.RequestBounds(
            header_bytes + self._added_header_bytes,
            limits.body_bytes if limits.body_bytes > 0 else bounds.BODY_BYTES,
            limits.header_timeout_ms if limits.header_timeout_ms > 0 else bounds.HEADER_TIMEOUT_MS,
            limits.idle_timeout_ms if limits.idle_timeout_ms > 0 else bounds.IDLE_TIMEOUT_MS,
        )
