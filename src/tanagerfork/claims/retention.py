"""Watermark of deleted claims: which keys may be claimed, and which are refused as expired.

The watermark in the key-value service is the time up to which claims were deleted. Time-ordered
keys created before it are refused. No daemon's wall clock decides that, so clocks may differ. The
sweeper raises the watermark, waits for `DELETION_DELAY_MS`, and only then deletes the claims. A
daemon that checks its copy of the watermark after its claim is in force, with a copy younger than
`COPY_MAX_AGE_MS`, therefore knows that no earlier claim on its key was deleted. This requires
clocks that run at about the same rate, not clocks that show the same time.

A key-value service that was restored from a backup lost the claims since the backup. A daemon
detects this by a revision or a watermark that decreased, and raises the watermark to the present:
from then on, time-ordered keys created before are refused, and keys that are not time-ordered are
refused for `PLAIN_KEYS_REFUSED_MS`. There are limits: until the first daemon that knew the newer
state reads or writes the watermark, a key whose claim was lost may run again. A restore is not
detected if no such daemon runs any more, or once the restored service has passed the revisions that
the daemons had seen.
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

WATERMARK_KEY = "claims/mark"
RETENTION_MS = 24 * 3_600_000
COPY_MAX_AGE_MS = 5 * 60_000
DELETION_DELAY_MS = 20 * 60_000
NEW_FLEET_KEY_AGE_MS = 5 * 60_000  # Maximum age of keys accepted by a fleet without a watermark.
CLOCK_MARGIN_MS = 5_000  # Keys from clocks ahead by up to this are refused after a restore.
MAX_FUTURE_MS = 3_600_000
PLAIN_KEYS_REFUSED_MS = 24 * 3_600_000
MAX_SWAP_ATTEMPTS = 10
RETRY_AFTER_MS = 1_000


class ClaimWatermark:
    """Caches the watermark and refuses keys that it excludes.

    :param store: key-value service.
    :param clock: clock for the age of the copy, and wall clock.
    :param metrics: counters.
    """

    __slots__ = (
        "_store",
        "_clock",
        "_metrics",
        "_watermark",
        "_revision",
        "_read_at_ms",
        "_restores_detected",
        "_restores_applied",
        "_lock",
        "_refreshing",
    )

    def __init__(
        self, store: key_value.KeyValue, clock: clocks.Clock, metrics: metric.Metrics
    ) -> None:
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._watermark: claims.ClaimMark | None = None
        self._revision = key_value.ABSENT
        self._read_at_ms: int | None = None
        self._restores_detected = 0
        self._restores_applied = 0
        self._lock = asyncio.Lock()
        self._refreshing: asyncio.Future[result.Result[int, errors.PlatformError]] | None = None

    async def check(self, location: keys.KeyLocation) -> result.Result[None, errors.CallerError]:
        """Check whether a key may be claimed.

        :param location: location of the key's claim.
        :return: nothing, or the reason for the refusal.
        """
        if not self._is_fresh() and (await self._join_refresh()).is_err():
            message = "the key-value service is unavailable; send the same key again later"
            return result.Err(errors.NotRun(message, RETRY_AFTER_MS))
        assert self._watermark is not None
        refused = validate_key(location, self._watermark, self._clock.wall_ms())
        return result.Err(refused) if refused else result.Ok(None)

    def record_restore(self) -> None:
        """Record that the key-value service was restored to an older state."""
        self._metrics.count("key_value_restored_total")
        self._restores_detected += 1

    async def raise_to(self, swept_to_ms: int) -> result.Result[int, errors.PlatformError]:
        """Raise the watermark; a lower value leaves it unchanged.

        :param swept_to_ms: time since the epoch; keys created before it have to be refused.
        :return: the watermark in force, or the reason why it could not be raised.
        """
        async with self._lock:
            return await self._refresh(swept_to_ms)

    async def _join_refresh(self) -> result.Result[int, errors.PlatformError]:
        # Concurrent checks share one read, so that a slow service does not get a read per claim.
        if self._refreshing is None or self._refreshing.done():
            self._refreshing = asyncio.ensure_future(self.raise_to(0))
        return await asyncio.shield(self._refreshing)

    def _is_fresh(self) -> bool:
        if self._read_at_ms is None or self._restores_detected != self._restores_applied:
            return False
        return self._clock.monotonic_ms() - self._read_at_ms < COPY_MAX_AGE_MS

    async def _refresh(self, swept_to_ms: int = 0) -> result.Result[int, errors.PlatformError]:
        for _ in range(MAX_SWAP_ATTEMPTS):
            read_at_ms = self._clock.monotonic_ms()
            restores = self._restores_detected
            found = await self._store.read(WATERMARK_KEY)
            if isinstance(found, result.Err):
                return found
            entry = found.ok_value
            stored = swap.decode_record(entry, claims.ClaimMark) if entry else None
            revision = entry.revision if entry else key_value.ABSENT
            is_older = revision < self._revision or restores > self._restores_applied
            merged = merge_watermarks(
                stored, self._watermark, is_older, swept_to_ms, self._clock.wall_ms()
            )
            if merged != stored:
                merged.token = uuid.uuid4().hex
                written = await swap.swap_record(self._store, WATERMARK_KEY, merged, revision)
                if isinstance(written, result.Ok):
                    revision = written.ok_value
                elif isinstance(written.err_value, errors.Conflict):
                    continue
                else:
                    return written
            self._watermark, self._revision, self._read_at_ms = merged, revision, read_at_ms
            self._restores_applied = restores
            return result.Ok(merged.swept_to_ms)
        return result.Err(errors.PlatformUnavailable("the watermark of claims is busy; try again"))


def merge_watermarks(
    stored: claims.ClaimMark | None,
    known: claims.ClaimMark | None,
    is_older: bool,
    swept_to_ms: int,
    wall_ms: int,
) -> claims.ClaimMark:
    """Return the watermark that has to be in force.

    :param stored: watermark as read now.
    :param known: watermark of the previous read.
    :param is_older: whether the service was restored to an older state since the previous read.
    :param swept_to_ms: lower bound requested by a sweeper.
    :param wall_ms: wall clock, in milliseconds since the epoch.
    :return: the watermark, which is `stored` itself if nothing has to be written.
    """
    if stored is None and known is None:
        return claims.ClaimMark(swept_to_ms=max(swept_to_ms, wall_ms - NEW_FLEET_KEY_AGE_MS))
    bounds = [mark.swept_to_ms for mark in (stored, known) if mark] + [swept_to_ms]
    restored_at_ms = stored.restored_at_ms if stored else 0
    is_recorded = known is not None and restored_at_ms > known.restored_at_ms
    if is_older and not is_recorded:
        bounds.append(wall_ms + CLOCK_MARGIN_MS)
        restored_at_ms = wall_ms
    if stored and stored.swept_to_ms == max(bounds) and stored.restored_at_ms == restored_at_ms:
        return stored
    return claims.ClaimMark(swept_to_ms=max(bounds), restored_at_ms=restored_at_ms)


def validate_key(
    location: keys.KeyLocation, watermark: claims.ClaimMark, wall_ms: int
) -> errors.CallerError | None:
    """Return the reason why a key may not be claimed, None if it may.

    :param location: location of the key's claim.
    :param watermark: watermark in force.
    :param wall_ms: wall clock, in milliseconds since the epoch.
    """
    if location.created_at_ms is None:
        if watermark.restored_at_ms and wall_ms < watermark.restored_at_ms + PLAIN_KEYS_REFUSED_MS:
            return errors.KeyExpired(
                "this request was not run, but the claims were restored from a backup and an "
                "earlier request with this key may have run; look up its result, then use a new "
                "time-ordered UUID (version 7) as key"
            )
        return None
    if location.created_at_ms < watermark.swept_to_ms:
        return errors.KeyExpired(
            "this request was not run, but its key is older than the claims that are kept and an "
            "earlier request with it may have run; look up its result, then use a new key"
        )
    if location.created_at_ms > wall_ms + MAX_FUTURE_MS:
        return errors.BadRequest(
            "this request was not run: the time in its Idempotency-Key lies in the future; "
            "correct the clock and use a new key"
        )
    return None
