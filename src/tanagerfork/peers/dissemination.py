"""Dissemination: which changes are still to be told, each a bounded number of times."""

import dataclasses
import math

SENDS_PER_DOUBLING = 3


@dataclasses.dataclass(slots=True)
class _Pending:
    size_bytes: int
    sends: int = 0


class DeltaQueue:
    """Holds the keys of changes that peers may not have heard yet.

    :param sends_per_doubling: how often a change is told for each doubling of the peers.
    """

    __slots__ = ("_sends_per_doubling", "_pending")

    def __init__(self, sends_per_doubling: int = SENDS_PER_DOUBLING) -> None:
        self._sends_per_doubling = sends_per_doubling
        self._pending: dict[str, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, key: str, size_bytes: int) -> None:
        """Have a change told; one that is still being told starts anew.

        :param key: names the change; its content is looked up when it is sent.
        :param size_bytes: size of the content when sent.
        """
        self._pending[key] = _Pending(size_bytes)

    def remove(self, key: str) -> None:
        """Tell a change no more.

        :param key: names the change.
        """
        self._pending.pop(key, None)

    def next_batch(self, budget_bytes: int, peer_count: int) -> list[str]:
        """Choose what the next message tells, what was told least first.

        :param budget_bytes: room in the message; the first change may exceed it.
        :param peer_count: peers that should hear it.
        :return: keys; each is counted as told once more.
        """
        chosen: list[str] = []
        limit = self._sends_per_doubling * count_doublings(peer_count)
        for key, pending in sorted(self._pending.items(), key=lambda item: item[1].sends):
            if pending.size_bytes > budget_bytes and chosen:
                continue
            chosen.append(key)
            budget_bytes -= pending.size_bytes
            pending.sends += 1
            if pending.sends >= limit:
                del self._pending[key]
            if budget_bytes <= 0:
                break
        return chosen


def count_doublings(peer_count: int) -> int:
    """Return in how many steps of doubling all peers hear a change; at least one.

    :param peer_count: peers that should hear it.
    """
    return math.ceil(math.log2(peer_count + 2))
