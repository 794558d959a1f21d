"""Measures the per-unit costs behind docs/CAPACITY.md and computes the load at the target size.

Counts and bytes are the same in each run; CPU times and resident memory depend on the machine.
"""

import sys

from bench import bundles, claims, coordination, peers, timeline

FAILURE_DOMAINS = 37
DAEMONS = 2_600
RUNNERS = 10_000
REQUESTS_PER_S = 35_000
TOKENS_PER_S = 14_000_000
CLAIMS_PER_S = 350  # One request in a hundred is not idempotent.
ANSWER_S = 13.2  # 400 tokens, 33 ms apart.
STREAM_KB = 26
CHANGES_PER_DAY = 7_800
DAY_S = 86_400
PEER_SIZES = (6, 20, 70)


def print_shares() -> None:
    """Print the share of the load of one daemon and of one failure domain."""
    requests = REQUESTS_PER_S / DAEMONS
    streams = requests * ANSWER_S
    print("one daemon's share")
    print(f"  {requests:.1f} requests and {TOKENS_PER_S / DAEMONS:.0f} tokens a second")
    print(f"  {streams:.0f} open streams, {streams * STREAM_KB / 1000:.1f} MB")
    print(f"  a change of the bundle every {DAY_S / CHANGES_PER_DAY:.1f} s")
    print("one failure domain's share")
    print(f"  {DAEMONS / FAILURE_DOMAINS:.0f} daemons, {RUNNERS / FAILURE_DOMAINS:.0f} runners")


def print_claims() -> None:
    """Print the cost of claims at the target rate."""
    print(f"claims at {CLAIMS_PER_S} a second, 20 daemons, time-ordered keys")
    for name, domains in (("one writer", 1), ("writer by domain", 3), ("each alone", 0)):
        seen = claims.measure(CLAIMS_PER_S, 20, True, failure_domains=domains)
        print(
            f"  {name}: {seen.writes_per_s:.0f} writes a second, {seen.written_kb_per_s:.0f} kB/s, "
            f"added wait p95 {seen.wait_p95_ms:.1f} ms, largest shard {seen.largest_kb:.0f} kB"
        )


def print_bundles() -> None:
    """Print the cost of changes to the bundle."""
    seen = bundles.measure("letter", 70)
    print("bundles at the target size, one team changed")
    print(f"  bundle {seen.bundle_bytes} bytes, head {seen.head_bytes}, part {seen.changed_bytes}")
    print(
        f"  {seen.writes:.0f} writes a roll, {seen.writes * CHANGES_PER_DAY / DAY_S:.2f} a second"
    )
    print(f"  {seen.idle_reads * DAEMONS:.0f} reads of the head a second by all daemons")


def print_peers(sizes: tuple[int, ...]) -> None:
    """Print the cost of the peer protocol by size.

    :param sizes: numbers of daemons in a failure domain.
    """
    link_ms = peers.measure_links()
    print(f"peers, {link_ms:.3f} ms of processor time a message")
    for size in sizes:
        peers.run_domain(size, link_ms)


def main(sizes: tuple[int, ...] = PEER_SIZES) -> None:
    """Run all measurements and print the figures.

    :param sizes: numbers of daemons in a failure domain for the peer protocol.
    """
    print_shares()
    coordination.main()
    print_claims()
    print_bundles()
    costs = timeline.measure_cost()
    print("timeline: " + ", ".join(f"{value:.2f}" for value in costs))
    print_peers(sizes)


if __name__ == "__main__":
    main(tuple(int(size) for size in sys.argv[1:]) or PEER_SIZES)
