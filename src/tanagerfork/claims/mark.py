"""How far back claims are known: which keys may be claimed, and which are refused as expired.

A mark in the key-value service says up to which time claims were swept. Time-ordered keys made
before it are refused; no daemon's wall clock decides that, so clocks may differ. A sweeper raises
the mark, waits `SWEEP_WAIT_MS`, and only then deletes the claims. A daemon that checks its copy of
the mark after its claim is in force, with a copy younger than `COPY_MAX_AGE_MS`, therefore knows
that no claim on its key was deleted before. This needs clocks of about the same rate, not of the
same time.

A service that was restored to an older state lost the claims since its backup. A daemon notices by
a revision or a mark that went back, and raises the mark to the present: time-ordered keys made
before are refused from then on, and keys that are not time-ordered for `PLAIN_REFUSED_MS`. What
cannot be promised: until the first daemon that knew the newer state writes or reads the mark, a key
whose claim was lost may run again; nor is a restore noticed once no such daemon runs any more, or
once the restored service passed the revisions they had seen.
"""

import asyncio
import uuid

import result

from tanagerfork import clock as clocks
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.claims import keys
from tanagerfork.generated import claims
from tanagerfork.storage import key_value, swap

MARK_KEY = "claims/mark"
RETENTION_MS = 24 * 3_600_000
COPY_MAX_AGE_MS = 5 * 60_000
SWEEP_WAIT_MS = 20 * 60_000
NEW_FLEET_MS = 5 * 60_000  # A fleet without a mark accepts keys this old.
CLOCK_MARGIN_MS = 5_000
FUTURE_LIMIT_MS = 3_600_000
PLAIN_REFUSED_MS = 24 * 3_600_000
CONFLICT_TRIES = 10
RETRY_MS = 1_000


class MarkKeeper:
    """Keeps a copy of the mark and refuses keys by it.

    :param store: key-value service.
    :param clock: clock of the copy's age.
    :param metrics: counters.
    """

    __slots__ = (
        "_store",
        "_clock",
        "_metrics",
        "_mark",
        "_revision",
        "_read_at_ms",
        "_restores_noted",
        "_restores_marked",
        "_lock",
        "_refreshing",
    )

    def __init__(
        self, store: key_value.KeyValue, clock: clocks.Clock, metrics: metric.Metrics
    ) -> None:
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._mark: claims.ClaimMark | None = None
        self._revision = key_value.ABSENT
        self._read_at_ms: int | None = None
        self._restores_noted = 0
        self._restores_marked = 0
        self._lock = asyncio.Lock()
        self._refreshing: asyncio.Future[result.Result[int, errors.PlatformError]] | None = None

    async def check(self, place: keys.KeyPlace) -> result.Result[None, errors.CallerError]:
        """Check whether a key may be claimed.

        :param place: place of the key.
        :return: nothing, or why it may not.
        """
        if not self._is_fresh() and (await self._share_refresh()).is_err():
            message = "the key-value service is away; send the same key again later"
            return result.Err(errors.NotRun(message, RETRY_MS))
        assert self._mark is not None
        refused = judge_key(place, self._mark, self._clock.wall_ms())
        return result.Err(refused) if refused else result.Ok(None)

    def note_restored(self) -> None:
        """Take note that the service went back to an older state."""
        self._metrics.count("key_value_restored_total")
        self._restores_noted += 1

    async def raise_to(self, swept_to_ms: int) -> result.Result[int, errors.PlatformError]:
        """Raise the mark, never lower it.

        :param swept_to_ms: keys made before are to be refused.
        :return: the mark in force, or why it could not be raised.
        """
        async with self._lock:
            return await self._refresh(swept_to_ms)

    async def _share_refresh(self) -> result.Result[int, errors.PlatformError]:
        # Claims that wait at the same time share one read, however slow the service is.
        if self._refreshing is None or self._refreshing.done():
            self._refreshing = asyncio.ensure_future(self.raise_to(0))
        return await asyncio.shield(self._refreshing)

    def _is_fresh(self) -> bool:
        if self._read_at_ms is None or self._restores_noted != self._restores_marked:
            return False
        return self._clock.monotonic_ms() - self._read_at_ms < COPY_MAX_AGE_MS

    async def _refresh(self, swept_to_ms: int = 0) -> result.Result[int, errors.PlatformError]:
        for _ in range(CONFLICT_TRIES):
            read_at_ms = self._clock.monotonic_ms()
            restores = self._restores_noted
            found = await self._store.read(MARK_KEY)
            if isinstance(found, result.Err):
                return found
            entry = found.ok_value
            stored = swap.decode_record(entry, claims.ClaimMark) if entry else None
            revision = entry.revision if entry else key_value.ABSENT
            is_older = revision < self._revision or restores > self._restores_marked
            wanted = merge_mark(stored, self._mark, is_older, swept_to_ms, self._clock.wall_ms())
            if wanted != stored:
                wanted.token = uuid.uuid4().hex
                written = await swap.swap_record(self._store, MARK_KEY, wanted, revision)
                if isinstance(written, result.Ok):
                    revision = written.ok_value
                elif isinstance(written.err_value, errors.Conflict):
                    continue
                else:
                    return written
            self._mark, self._revision, self._read_at_ms = wanted, revision, read_at_ms
            self._restores_marked = restores
            return result.Ok(wanted.swept_to_ms)
        return result.Err(errors.PlatformUnavailable("the mark of the claims is busy; try again"))


def merge_mark(
    stored: claims.ClaimMark | None,
    known: claims.ClaimMark | None,
    is_older: bool,
    swept_to_ms: int,
    wall_ms: int,
) -> claims.ClaimMark:
    """Return the mark that must be in force.

    :param stored: mark as read now.
    :param known: mark as known before.
    :param is_older: whether the service was found in an older state than the known one.
    :param swept_to_ms: where a sweeper wants it.
    :param wall_ms: wall clock, since the epoch.
    :return: `stored` itself where nothing is to be written.
    """
    if stored is None and known is None:
        return claims.ClaimMark(swept_to_ms=max(swept_to_ms, wall_ms - NEW_FLEET_MS))
    swept = [mark.swept_to_ms for mark in (stored, known) if mark] + [swept_to_ms]
    restored_at_ms = stored.restored_at_ms if stored else 0
    is_told = known is not None and restored_at_ms > known.restored_at_ms
    if is_older and not is_told:
        swept.append(wall_ms + CLOCK_MARGIN_MS)
        restored_at_ms = wall_ms
    if stored and stored.swept_to_ms == max(swept) and stored.restored_at_ms == restored_at_ms:
        return stored
    return claims.ClaimMark(swept_to_ms=max(swept), restored_at_ms=restored_at_ms)


def judge_key(
    place: keys.KeyPlace, mark: claims.ClaimMark, wall_ms: int
) -> errors.CallerError | None:
    """Return why a key may not be claimed, None where it may.

    :param place: place of the key.
    :param mark: mark in force.
    :param wall_ms: wall clock, since the epoch.
    """
    if place.made_at_ms is None:
        if mark.restored_at_ms and wall_ms < mark.restored_at_ms + PLAIN_REFUSED_MS:
            return errors.KeyExpired(
                "this send was not run, but the claims were restored from a backup and an earlier "
                "send under this key may have run; look for its record, then take a new "
                "time-ordered UUID (version 7) as key"
            )
        return None
    if place.made_at_ms < mark.swept_to_ms:
        return errors.KeyExpired(
            "this send was not run, but the key is older than the claims that are kept and an "
            "earlier send under it may have run; look for its record, then take a new key"
        )
    if place.made_at_ms > wall_ms + FUTURE_LIMIT_MS:
        return errors.BadRequest(
            "this send was not run: the time in the Idempotency-Key lies in the future; "
            "set the clock and take a new key"
        )
    return None
