"""Cost of one change of a bundle: bytes and key-value calls per daemon.

Run as `python -m bench.bundles`. The real `BundleFollower` of every daemon follows an in-memory
service on simulated time. Two daemons of each failure domain watch the head; the others learn of
the change only from their infrequent reads. This is the worst case: in a fleet, peers pass most
changes on.
"""

import asyncio
import dataclasses
import hashlib
import random

import msgspec
from cryptography.hazmat.primitives.asymmetric import ed25519

from bench import stores, virtual
from tanagerfork import metrics as metric
from tanagerfork.bundles import follower, register, signature
from tanagerfork.bundles import head as heads
from tanagerfork.bundles import manifest as manifests
from tanagerfork.generated import bundle as records
from tanagerfork.generated import settings as settings_records
from tanagerfork.timeline import ring

SEED = 7
SERVICE_MS = 5
OPERATOR = "ipoh"
DAEMONS = (6, 20, 70)
WATCHERS = {6: 6, 20: 6, 70: 2}  # Two in each failure domain.
CHANGES = 5
CHANGE_INTERVAL_S = 120
SIZES = {
    "today": (2, 2, 10),
    "letter": (20, 40, 600),
}  # Models, services, teams; `letter` is the target size.
FAILURE_DOMAINS = {"today": 3, "letter": 37}
LETTER_CHANGE_INTERVAL_S = 86_400 / 7_800


@dataclasses.dataclass(slots=True)
class Measurement:
    """Measured cost of the changes."""

    bundle_bytes: int
    manifest_bytes: int
    head_bytes: int
    changed_bytes: int
    reads: float
    read_bytes: float
    idle_reads: float
    idle_bytes: float
    writes: float
    written_bytes: float


def make_bundle(size: str) -> records.Bundle:
    """Build a bundle of the given size.

    :param size: `today` or `letter`.
    :return: the bundle.
    """
    models, services, teams = SIZES[size]
    domains = [f"domain-{number}" for number in range(FAILURE_DOMAINS[size])]
    placed = [records.GroupCount(failure_domain=name, groups=3) for name in domains]
    named = [f"model-{number}" for number in range(models)]
    return records.Bundle(
        name=size,
        models=[
            records.Model(name=name, version="1", members_per_group=4, placement=list(placed))
            for name in named
        ],
        services=[
            records.Service(name=f"service-{number}", upstreams=_make_upstreams(domains))
            for number in range(services)
        ],
        teams=[
            records.Team(
                name=f"team-{number}",
                token_sha256=[hashlib.sha256(bytes([number % 256, number // 256])).hexdigest()],
                models=named[:2],
                services=["service-0"],
            )
            for number in range(teams)
        ],
    )


def measure(size: str, daemons: int) -> Measurement:
    """Roll out changes of one team each and count what the daemons read.

    :param size: `today` or `letter`.
    :param daemons: number of daemons.
    :return: cost per daemon and change.
    """
    return virtual.run(_measure(size, daemons))


async def _measure(size: str, daemons: int) -> Measurement:
    rng = random.Random(SEED)
    key = ed25519.Ed25519PrivateKey.from_private_bytes(bytes(32))
    trusted = settings_records.OperatorKey(
        operator=OPERATOR, public_key=signature.encode_public_key(key)
    )
    store, bundle = stores.CountedKeyValue(SERVICE_MS), make_bundle(size)
    head = await _roll_out(store, bundle, None, key)
    registers = [register.BundleRegister([trusted]) for _ in range(daemons)]
    tasks = [
        _start_follower(store, bundles, rng, number < WATCHERS[daemons])
        for number, bundles in enumerate(registers)
    ]
    await asyncio.sleep(CHANGE_INTERVAL_S)
    idle = await _count_reads(store, CHANGES * CHANGE_INTERVAL_S)
    before, writes, written = (store.reads, store.read_bytes), store.writes, store.written_bytes
    known = set(store.entries)
    for number in range(CHANGES):
        bundle.teams[number].weight += 1
        head = await _roll_out(store, bundle, head, key)
        await asyncio.sleep(CHANGE_INTERVAL_S)
    assert all(bundles.version == head.version for bundles in registers)
    for task in tasks:
        task.cancel()
    parts = [key for key in set(store.entries) - known if key.startswith(heads.PART_PREFIX)]
    share = CHANGES * daemons
    return Measurement(
        bundle_bytes=len(msgspec.json.encode(bundle)),
        manifest_bytes=len(head.signed.manifest_json),
        head_bytes=len(msgspec.json.encode(head)),
        changed_bytes=sum(len(store.entries[key].value) for key in parts) // CHANGES,
        reads=(store.reads - before[0] - idle[0]) / share,
        read_bytes=(store.read_bytes - before[1] - idle[1]) / share,
        idle_reads=idle[0] / daemons / (CHANGES * CHANGE_INTERVAL_S),
        idle_bytes=idle[1] / daemons / (CHANGES * CHANGE_INTERVAL_S),
        writes=(store.writes - writes) / CHANGES,
        written_bytes=(store.written_bytes - written) / CHANGES,
    )


async def _roll_out(
    store: stores.CountedKeyValue,
    bundle: records.Bundle,
    parent: records.Head | None,
    key: ed25519.Ed25519PrivateKey,
) -> records.Head:
    version, sha256 = (parent.version + 1, parent.manifest_sha256) if parent else (1, "")
    draft = manifests.draft_manifest(bundle, version, sha256)
    in_force = msgspec.json.decode(
        (
            parent.signed.manifest_json
            if parent
            else b'{"version":1,"parent":"","name":"","parts":[]}'
        ),
        type=records.Manifest,
    )
    (await heads.publish_parts(store, draft, in_force)).unwrap()
    signed = signature.sign_manifest(draft.manifest, OPERATOR, key)
    return (await heads.roll_head(store, signed, OPERATOR, 1)).unwrap()


def _start_follower(
    store: stores.CountedKeyValue,
    bundles: register.BundleRegister,
    rng: random.Random,
    is_watcher: bool,
) -> asyncio.Task[None]:
    clock = virtual.VirtualClock()
    followed = follower.BundleFollower(
        store,
        bundles,
        clock,
        ring.Timeline("bench", clock, 100),
        metric.Metrics(),
        lambda: is_watcher,
        random.Random(rng.random()),
    )
    return asyncio.create_task(followed.run())


async def _count_reads(store: stores.CountedKeyValue, duration_s: float) -> tuple[int, int]:
    before = store.reads, store.read_bytes
    await asyncio.sleep(duration_s)
    return store.reads - before[0], store.read_bytes - before[1]


def _make_upstreams(domains: list[str]) -> list[records.ServiceUpstream]:
    return [
        records.ServiceUpstream(
            name=f"{name}-1", failure_domain=name, url=f"http://10.0.0.{number}"
        )
        for number, name in enumerate(domains)
    ]


def main() -> None:
    """Print the tables."""
    print(f"seed {SEED}; {CHANGES} changes of one team each; reads and bytes per daemon")
    print(
        "size   daemons bundle kB manifest kB head kB part kB reads/change kB/change "
        "idle reads/s idle B/s writes/roll kB/roll"
    )
    for size in SIZES:
        for daemons in DAEMONS:
            seen = measure(size, daemons)
            print(
                f"{size:6} {daemons:7} {seen.bundle_bytes / 1000:9.1f} "
                f"{seen.manifest_bytes / 1000:11.1f} {seen.head_bytes / 1000:7.1f} "
                f"{seen.changed_bytes / 1000:7.1f} {seen.reads:12.2f} "
                f"{seen.read_bytes / 1000:9.1f} {seen.idle_reads:12.3f} {seen.idle_bytes:8.0f} "
                f"{seen.writes:11.1f} {seen.written_bytes / 1000:7.1f}",
                flush=True,
            )
    watcher = (seen.head_bytes + seen.changed_bytes) / LETTER_CHANGE_INTERVAL_S
    other = seen.idle_bytes + seen.changed_bytes / LETTER_CHANGE_INTERVAL_S
    print(f"2,600 daemons read the head {2_600 * seen.idle_reads:.0f} times a second")
    print(
        f"7,800 changes a day: {watcher:.0f} B/s at a watcher, {other:.0f} B/s at any other daemon"
    )


if __name__ == "__main__":
    main()
