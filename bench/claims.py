"""Key-value writes per claim and added latency, on simulated time with seeded arrivals.

Run as `python -m bench.claims`. Each claim is granted by the real `ClaimBook` of one of the
daemons, runs for a seeded time, and is settled. The baseline writes each claim and each outcome
separately. With "own domain", each of three failure domains chooses its own writers; with "each
alone", daemons forward nothing to each other.
"""

import asyncio
import dataclasses
import random
from collections.abc import Iterable

import msgspec
import result

from bench import stores, virtual
from tanagerfork import errors
from tanagerfork import metrics as metric
from tanagerfork.claims import book, decision, keys, owner, retention, writer
from tanagerfork.generated import claims
from tanagerfork.storage import key_value, swap

SEED = 7
SERVICE_MS = 5
ONE_WAY_MS = 1.5
RUN_MS = (20, 200)
SETTLE_S = 60
CLOCK_SKEW_MS = 250  # Largest clock skew of a caller, and so of the time in its keys.
CLAIMS_PER_RUN = 2_000
BASELINE_CLAIMS = 400
MAX_ARRIVAL_S = 20
RATES_PER_S = (1, 10, 100, 350, 1_000)
DAEMONS = (6, 20, 70)
BASELINE_SHARDS = 64
FAILURE_DOMAINS = 3
GOAL_WRITES_PER_S = 300
GOAL_WAIT_MS = 30


class InProcessPeers:
    """Connects daemons in one process with a one-way latency of `ONE_WAY_MS`.

    :param known: names of the daemons that this one knows.
    :param books: claim books of all daemons.
    """

    def __init__(self, known: list[str], books: dict[str, book.ClaimBook]) -> None:
        self._known = known
        self._books = books

    def list_live(self) -> Iterable[str]:
        """Return the names of the known daemons."""
        return self._known

    async def send(
        self, name: str, call: claims.ClaimCall
    ) -> result.Result[claims.ClaimReply, errors.PlatformError]:
        """Forward a call to another daemon."""
        await asyncio.sleep(ONE_WAY_MS / 1000)
        reply = await self._books[name].serve(call)
        await asyncio.sleep(ONE_WAY_MS / 1000)
        return reply


class UnbatchedWriter:
    """Baseline writer: reads and writes the shard separately for each record."""

    def __init__(self, store: stores.CountedKeyValue) -> None:
        self._store = store

    async def submit(self, call: claims.ClaimCall) -> writer.Reply:
        """Write a claim or an outcome."""
        number = int.from_bytes(call.record.key_hash.encode()) % BASELINE_SHARDS
        key = f"claims/{number}"
        while True:
            found = (await self._store.read(key)).unwrap()
            stored = swap.decode_record(found, claims.ClaimShard).claims if found else []
            shard = decision.Shard(stored)
            reply = decision.apply_record(shard, call.record)
            record = claims.ClaimShard(claims=list(shard.records.values()))
            revision = found.revision if found else key_value.ABSENT
            written = await self._store.swap(key, msgspec.json.encode(record), revision)
            if written.is_ok():
                return result.Ok(reply)


@dataclasses.dataclass(slots=True)
class Measurement:
    """Measurements of one run."""

    claims: int
    writes: int
    reads: int
    writes_per_s: float
    written_kb_per_s: float
    largest_kb: float
    wait_p50_ms: float
    wait_p95_ms: float


def measure(
    rate_per_s: int,
    daemons: int,
    is_timed: bool,
    is_baseline: bool = False,
    failure_domains: int = 1,
) -> Measurement:
    """Run claims at a fixed rate.

    :param rate_per_s: claims a second over all daemons.
    :param daemons: number of daemons.
    :param is_timed: whether the keys are time-ordered.
    :param is_baseline: whether each record is written separately.
    :param failure_domains: number of failure domains, whose daemons know only each other; with 0,
        each daemon writes its own claims.
    :return: measurements.
    """
    work = _measure(rate_per_s, daemons, is_timed, is_baseline, failure_domains)
    return virtual.run(work)


async def _measure(
    rate_per_s: int, daemons: int, is_timed: bool, is_baseline: bool, failure_domains: int
) -> Measurement:
    rng = random.Random(SEED)
    store, clock, metrics = (
        stores.CountedKeyValue(SERVICE_MS),
        virtual.VirtualClock(),
        metric.Metrics(),
    )
    books: dict[str, book.ClaimBook] = {}
    for number in range(daemons):
        name = f"daemon-{number}"
        peers = InProcessPeers(_list_known(number, daemons, failure_domains), books)
        watermark = retention.ClaimWatermark(store, clock, metrics)
        shards = writer.ShardWriter(store, clock, metrics, watermark)
        claim_peers: owner.ClaimPeers = peers
        if is_baseline:
            shards, claim_peers = UnbatchedWriter(store), owner.NoPeers()  # type: ignore[assignment]
        books[name] = book.ClaimBook(name, clock, metrics, shards, watermark, claim_peers)
        await watermark.check(keys.locate_key("team", "first"))
    store.writes = store.reads = store.written_bytes = 0
    most = BASELINE_CLAIMS if is_baseline else CLAIMS_PER_RUN
    count = max(20, min(most, rate_per_s * MAX_ARRIVAL_S))
    started_s = asyncio.get_running_loop().time()
    waits_ms: list[float] = []
    tasks = []
    for number in range(count):
        await asyncio.sleep(rng.expovariate(rate_per_s))
        made_at_ms = clock.wall_ms() + int(rng.uniform(-CLOCK_SKEW_MS, CLOCK_SKEW_MS))
        key = keys.make_timed_key(made_at_ms, rng.getrandbits(74)) if is_timed else str(number)
        chosen = books[rng.choice(list(books))]
        tasks.append(asyncio.create_task(_claim_once(chosen, key, number, rng, waits_ms)))
    arrived_s = asyncio.get_running_loop().time() - started_s
    await asyncio.gather(*tasks)
    await asyncio.sleep(SETTLE_S)
    assert not any(item.unsettled for item in books.values())
    waits_ms.sort()
    return Measurement(
        claims=count,
        writes=store.writes,
        reads=store.reads,
        writes_per_s=store.writes / arrived_s,
        written_kb_per_s=store.written_bytes / arrived_s / 1000,
        largest_kb=store.largest_bytes / 1000,
        wait_p50_ms=waits_ms[len(waits_ms) // 2],
        wait_p95_ms=waits_ms[int(len(waits_ms) * 0.95)],
    )


def _list_known(number: int, daemons: int, failure_domains: int) -> list[str]:
    if not failure_domains:
        return []
    first = number % failure_domains
    return [f"daemon-{known}" for known in range(first, daemons, failure_domains)]


async def _claim_once(
    chosen: book.ClaimBook, key: str, number: int, rng: random.Random, waits_ms: list[float]
) -> None:
    loop = asyncio.get_running_loop()
    wish = book.ClaimRequest("team", key, "request" * 3, f"{number:032}", 10_000, 60_000)
    started_s = loop.time()
    claimed = (await chosen.claim(wish)).unwrap()
    assert isinstance(claimed, book.Grant)
    waits_ms.append((loop.time() - started_s) * 1000)
    await asyncio.sleep(rng.uniform(*RUN_MS) / 1000)
    chosen.settle(claimed, book.Outcome("answered", 201, "application/json", b"x" * 120))


def main() -> None:
    """Print the table."""
    print(f"seed {SEED}, service {SERVICE_MS} ms, {ONE_WAY_MS} ms one way between daemons")
    print("claims/s daemons kind          writes/claim reads/claim writes/s kB/s   p50 ms p95 ms")
    for daemons in DAEMONS:
        for rate_per_s in RATES_PER_S:
            for kind, is_timed, is_baseline, domains in (
                ("time-ordered", True, False, 1),
                ("own domain", True, False, FAILURE_DOMAINS),
                ("each alone", True, False, 0),
                ("other keys", False, False, 1),
                ("baseline", True, True, 1),
            ):
                if kind != "time-ordered" and (daemons, rate_per_s > 350) != (DAEMONS[1], False):
                    continue
                seen = measure(rate_per_s, daemons, is_timed, is_baseline, domains)
                print(
                    f"{rate_per_s:8} {daemons:7} {kind:13} {seen.writes / seen.claims:12.2f} "
                    f"{seen.reads / seen.claims:11.2f} {seen.writes_per_s:8.0f} "
                    f"{seen.written_kb_per_s:6.0f} {seen.wait_p50_ms:6.1f} {seen.wait_p95_ms:6.1f}",
                    flush=True,
                )
    goal = measure(350, 20, is_timed=True)
    is_met = goal.writes_per_s < GOAL_WRITES_PER_S and goal.wait_p95_ms < GOAL_WAIT_MS
    print(
        f"goal at 350 claims/s: under {GOAL_WRITES_PER_S} writes/s and {GOAL_WAIT_MS} ms: "
        f"{'met' if is_met else 'NOT met'}; largest shard {goal.largest_kb:.0f} kB"
    )


if __name__ == "__main__":
    main()
