"""Verdict of a soak run, and how callers of daemons that are cut off are compared with others."""

import collections
import dataclasses
import pathlib
import sys


@dataclasses.dataclass(slots=True)
class Verdict:
    """Violated guarantees, response statuses and injected faults of one run.

    `excused` counts what earlier builds do that is repaired since.
    """

    violations: list[str] = dataclasses.field(default_factory=list)
    statuses: collections.Counter[int] = dataclasses.field(default_factory=collections.Counter)
    excused: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    faults: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    def check(self, holds: bool, violation: str) -> None:
        """Record a violation if a guarantee does not hold.

        :param holds: whether the guarantee holds.
        :param violation: description of the violation, recorded if it does not hold.
        """
        if not holds:
            self.violations.append(violation)


@dataclasses.dataclass(slots=True)
class Partition:
    """Partition of some daemons from all runners; `first_tries` holds daemons and whether served.

    They are counted some time after the cut. Daemons that were stopped, paused or cut off by
    another partition since then are `excused`.
    """

    daemons: frozenset[str]
    is_counted: bool = False
    excused: set[str] = dataclasses.field(default_factory=set)
    first_tries: list[tuple[str, bool]] = dataclasses.field(default_factory=list)

    def is_broken(self) -> bool:
        """Return whether callers of these daemons were served far worse than those of others."""
        counted = [(name, served) for name, served in self.first_tries if name not in self.excused]
        cut = [served for name, served in counted if name in self.daemons]
        others = [served for name, served in counted if name not in self.daemons]
        if not cut or not others:
            return False
        is_worse = sum(cut) / len(cut) < sum(others) / len(others) * 2 / 3
        return is_worse and len(cut) - sum(cut) > 10 + len(cut) / 50


def report(name: str, verdict: Verdict, folder: pathlib.Path) -> None:
    """Print the verdict of a run.

    :param name: name of the run.
    :param verdict: verdict.
    :param folder: folder with the logs.
    """
    word = "broken" if verdict.violations else "kept"
    statuses = dict(sorted(verdict.statuses.items()))
    excused = {text: count for text, count in verdict.excused.items() if count}
    faults = f"faults {sum(verdict.faults.values())}, excused {excused}"
    print(f"{name}: {word}, statuses {statuses}, {faults}")
    kinds = collections.Counter(line.partition(":")[0] for line in verdict.violations)
    for kind, count in sorted(kinds.items()):
        first = next(line for line in verdict.violations if line.startswith(kind))
        print(f"  {count} times, first {first} (logs in {folder.name} of the temporary folder)")
    sys.stdout.flush()
