"""Dissemination: the changes still to be sent, each a bounded number of times."""

import dataclasses
import math

SENDS_PER_DOUBLING = 3


@dataclasses.dataclass(slots=True)
class _Pending:
    size_bytes: int
    sends: int = 0


class DeltaQueue:
    """Keys of changes that may not have reached all peers yet.

    :param sends_per_doubling: sends of a change per doubling of the number of peers.
    """

    __slots__ = ("_sends_per_doubling", "_pending")

    def __init__(self, sends_per_doubling: int = SENDS_PER_DOUBLING) -> None:
        self._sends_per_doubling = sends_per_doubling
        self._pending: dict[str, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, key: str, size_bytes: int) -> None:
        """Queue a change; for one that is queued already, the count of sends restarts.

        :param key: key of the change; its content is looked up when it is sent.
        :param size_bytes: estimated size of the content.
        """
        self._pending[key] = _Pending(size_bytes)

    def remove(self, key: str) -> None:
        """Remove a change from the queue.

        :param key: key of the change.
        """
        self._pending.pop(key, None)

    def next_batch(self, budget_bytes: int, peer_count: int) -> list[str]:
        """Choose changes for the next message, those sent least often first.

        :param budget_bytes: bytes available in the message; the first change may exceed them.
        :param peer_count: number of peers to reach.
        :return: keys; each is counted as sent once more.
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
    """Return the number of doublings after which a change reaches all peers; at least one.

    :param peer_count: number of peers to reach.
    """
    return math.ceil(math.log2(peer_count + 2))
