"""Counts and times the calls to the key-value service."""

import time
from collections.abc import AsyncIterator
from typing import TypeVar

import result

from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.storage import key_value

NS_PER_MS = 1_000_000
CALLS_METRIC = "key_value_calls_total"
SECONDS_METRIC = "key_value_seconds"

ValueT = TypeVar("ValueT")


class CountedKeyValue:
    """Forwards calls to the key-value service, and counts and times them.

    :param store: key-value service.
    :param metrics: registry for the counts, by outcome, and the durations.
    """

    __slots__ = ("_store", "_metrics")

    def __init__(self, store: key_value.KeyValue, metrics: metric.Metrics) -> None:
        self._store = store
        self._metrics = metrics

    @property
    def era(self) -> int:
        """Era of the service; see `KeyValue.era`."""
        return self._store.era

    async def read(self, key: str) -> result.Result[key_value.Entry | None, errors.PlatformError]:
        """Read one key; see `KeyValue.read`."""
        began_ns = time.monotonic_ns()
        return self._record("read", began_ns, await self._store.read(key))

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[list[key_value.Entry], errors.PlatformError]:
        """Read all keys with a prefix; see `KeyValue.read_prefix`."""
        began_ns = time.monotonic_ns()
        return self._record("read_prefix", began_ns, await self._store.read_prefix(prefix))

    async def swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.PlatformError]:
        """Write a key if its revision is the expected one; see `KeyValue.swap`."""
        began_ns = time.monotonic_ns()
        return self._record("swap", began_ns, await self._store.swap(key, value, revision))

    async def delete_range(
        self, first: str, after_last: str
    ) -> result.Result[int, errors.PlatformError]:
        """Delete all keys in a range; see `KeyValue.delete_range`."""
        began_ns = time.monotonic_ns()
        return self._record(
            "delete_range", began_ns, await self._store.delete_range(first, after_last)
        )

    def watch(self, key: str, revision: int) -> AsyncIterator[key_value.Entry]:
        """Watch one key; see `KeyValue.watch`."""
        self._metrics.count(CALLS_METRIC, call="watch", outcome="begun")
        return self._store.watch(key, revision)

    def _record(
        self, call: str, began_ns: int, outcome: result.Result[ValueT, errors.PlatformError]
    ) -> result.Result[ValueT, errors.PlatformError]:
        duration_ms = (time.monotonic_ns() - began_ns) / NS_PER_MS
        self._metrics.observe_ms(SECONDS_METRIC, duration_ms, call=call)
        kind = outcome.err_value.kind if isinstance(outcome, result.Err) else "good"
        self._metrics.count(CALLS_METRIC, call=call, outcome=kind)
        return outcome
