"""Loads: what each upstream has to do, by own sends and by what it told, and how it fares."""

import dataclasses

from tanagerfork.relay import calls

FADE_MS = 1000.0  # About the time a usual answer takes: half of the told requests have ended.
FAILURE_SMOOTHING = 0.3  # Three failures in a row outweigh any success before them.
WAIT_SMOOTHING = 0.2  # The mean of about the last ten answers.
SUSPECT_MS = 3000  # Past two beats of the directory it shows whether the upstream is gone.
OLD_FAILURE_MS = 4000  # A failure counts half after so long, so that an upstream is tried again.


@dataclasses.dataclass(slots=True)
class UpstreamLoad:
    """Load and health of one upstream as one daemon sees it."""

    open: int = 0
    open_prompt_tokens: int = 0
    told: calls.Load | None = None
    told_at_ms: float = 0.0
    open_when_told: int = 0
    failure_share: float = 0.0
    failed_at_ms: float = -1e12
    heard_at_ms: float = -1e12
    suspect_until_ms: float = -1e12
    wait_ms: float = 0.0

    def estimate_others(self, now_ms: float) -> float:
        """Return how many requests of other daemons it holds.

        :param now_ms: monotonic clock, in milliseconds.
        """
        if self.told is None:
            return 0.0
        others = max(0, self.told.running + self.told.waiting - self.open_when_told)
        return others * FADE_MS / (FADE_MS + now_ms - self.told_at_ms)

    def estimate_failure(self, now_ms: float) -> float:
        """Return the share of requests that are expected to fail.

        :param now_ms: monotonic clock, in milliseconds.
        """
        age_ms = now_ms - self.failed_at_ms
        return self.failure_share * OLD_FAILURE_MS / (OLD_FAILURE_MS + max(0.0, age_ms))


class LoadBook:
    """Loads of all upstreams, by id."""

    __slots__ = ("_loads",)

    def __init__(self) -> None:
        self._loads: dict[str, UpstreamLoad] = {}

    def find(self, upstream_id: str) -> UpstreamLoad:
        """Return the load of an upstream.

        :param upstream_id: id of the upstream.
        """
        load = self._loads.get(upstream_id)
        if load is None:
            load = self._loads[upstream_id] = UpstreamLoad()
        return load

    def begin(self, upstream_id: str, prompt_tokens: int) -> None:
        """Note a send.

        :param upstream_id: id of the upstream.
        :param prompt_tokens: tokens it has to read.
        """
        load = self.find(upstream_id)
        load.open += 1
        load.open_prompt_tokens += prompt_tokens

    def end_reading(self, upstream_id: str, prompt_tokens: int) -> None:
        """Note that an upstream has read a prompt, as its first event came or its send ended.

        :param upstream_id: id of the upstream.
        :param prompt_tokens: tokens that it was sent.
        """
        self.find(upstream_id).open_prompt_tokens -= prompt_tokens

    def end(self, upstream_id: str, outcome: calls.Outcome, took_ms: float, now_ms: float) -> None:
        """Note the end of a send.

        :param upstream_id: id of the upstream.
        :param outcome: how it ended.
        :param took_ms: time for which it lasted, in milliseconds.
        :param now_ms: monotonic clock, in milliseconds.
        """
        load = self.find(upstream_id)
        load.open -= 1
        has_failed = outcome in (calls.Outcome.LOST, calls.Outcome.UNREACHED)
        load.failure_share += FAILURE_SMOOTHING * (has_failed - load.failure_share)
        if has_failed:
            load.failed_at_ms = now_ms
        elif outcome is calls.Outcome.ANSWERED:
            load.wait_ms += WAIT_SMOOTHING * (took_ms - load.wait_ms) if load.wait_ms else took_ms

    def note_load(self, upstream_id: str, told: calls.Load | None, now_ms: float) -> None:
        """Take in a load that an answer told.

        :param upstream_id: id of the upstream.
        :param told: load, None where the answer told none.
        :param now_ms: monotonic clock, in milliseconds.
        """
        load = self.find(upstream_id)
        load.heard_at_ms = now_ms
        if told is not None:
            load.told = told
            load.told_at_ms = now_ms
            load.open_when_told = load.open

    def suspect(self, upstream_id: str, now_ms: float) -> None:
        """Send nothing more for a while to an upstream that went silent.

        :param upstream_id: id of the upstream.
        :param now_ms: monotonic clock, in milliseconds.
        """
        self.find(upstream_id).suspect_until_ms = now_ms + SUSPECT_MS

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Drop what is known of upstreams that are gone and hold no request.

        :param upstream_ids: ids of the upstreams that are not gone.
        """
        for gone in self._loads.keys() - upstream_ids:
            if not self._loads[gone].open:
                del self._loads[gone]
