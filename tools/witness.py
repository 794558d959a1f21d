"""Witness: receives the daemons' notices and compares them with what is true of the stand-ins.

A field whose meaning differs between two builds is read without an error, so that only its value
reveals it.
"""

import asyncio
import contextlib
from collections.abc import Callable

import msgspec

from tanagerfork.generated import notices
from tanagerfork.peers import link
from tanagerfork.relay import daemon_directory, notice_codec, peers
from tanagerfork_standins import listener
from tanagerfork_standins.platform import runner, site
from tools import verdicts

NAME = "witness"
MAX_OPEN = 40  # Requests that the callers of the soak can have open, with those that they left.
PROMPT_TOKENS = 100  # Of each request for a model.


class Witness:
    """An entry in the list of daemons, of a failure domain of its own, that only listens.

    The entry takes over no requests, as those of the first builds.

    :param deployment: stand-ins.
    :param verdict: receives what is not true.
    :param count_held: returns how many requests to plain upstreams slow callers may have open.
    """

    __slots__ = ("_site", "_verdict", "_count_held", "_inbox", "_task", "_is_open", "senders")

    def __init__(
        self,
        deployment: site.Site,
        verdict: verdicts.Verdict,
        count_held: Callable[[], int] = lambda: 0,
    ) -> None:
        self._site = deployment
        self._count_held = count_held
        self._verdict = verdict
        self._inbox: link.Inbox | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_open = True
        self.senders: set[str] = set()

    def start(self) -> None:
        """Write the entry to the store, and listen until `stop`."""
        self._inbox = link.Inbox(listener.LOOPBACK, 0, peers.MAX_NOTICE_BYTES)
        entry = daemon_directory.DaemonRecord("witnesses", self._inbox.address)
        key = daemon_directory.DAEMON_PREFIX + NAME
        self._site.store.put(key, msgspec.json.encode(entry))
        self._task = asyncio.create_task(self._listen(self._inbox))

    async def stop(self) -> None:
        """Stop listening."""
        self._is_open = False  # A frame that arrives just now hides the cancellation.
        if self._task is None or self._inbox is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._inbox.close()

    async def _listen(self, inbox: link.Inbox) -> None:
        while self._is_open:
            frame = await inbox.receive()
            try:
                notice = notice_codec.decode(frame).notice
            except notice_codec.UnreadableNotice as error:
                self._verdict.check(False, f"UNREAD: the witness got a notice: {error}")
                continue
            self.senders.add(notice.daemon)
            self.examine(notice)

    def examine(self, notice: notices.Notice) -> None:
        """Compare a notice with the state of the stand-ins.

        :param notice: notice.
        """
        members = {one.id: one for one in self._list_runners()}
        newest = self._site.version - 1
        is_known_version = notice.rules_version <= newest
        self._check(notice, is_known_version, f"rules version {notice.rules_version} of {newest}")
        told = [
            *(load.upstream for load in notice.loads),
            *notice.silent,
            *(group.head for group in notice.closed),
            *(one.upstream for one in notice.leaving),
        ]
        unknown = sorted(set(told) - members.keys())
        self._check(notice, not unknown, f"upstreams {unknown}")
        for load in notice.loads:
            is_plain = load.upstream in members and not members[load.upstream].fabric_domain
            is_possible = load.requests <= MAX_OPEN + (self._count_held() if is_plain else 0)
            self._check(notice, is_possible, f"{load.requests} requests at {load.upstream}")
            is_possible = load.unread_tokens <= MAX_OPEN * PROMPT_TOKENS
            self._check(notice, is_possible, f"{load.unread_tokens} tokens at {load.upstream}")
        services = sorted(set(notice.cut_off) - {site.ENGINE_SERVICE, site.PLAIN_SERVICE})
        self._check(notice, not services, f"services {services}")
        for one in notice.leaving:
            started_ms = members[one.upstream].started_ms if one.upstream in members else 0
            is_start = 1 <= one.born_at_ms <= started_ms
            self._check(notice, is_start, f"{one.upstream} born at {one.born_at_ms}")
        for group in notice.closed:
            is_issued = 1 <= group.epoch <= self._find_last_epoch()
            self._check(notice, is_issued, f"epoch {group.epoch} of {group.head}")

    def _list_runners(self) -> list[runner.Runner]:
        return [*self._site.engine_runners, *self._site.plain_runners]

    def _find_last_epoch(self) -> int:
        orders = [order for one in self._site.engine_runners for order in one.orders]
        return max((int(str(order.get("epoch", 0))) for order in orders), default=0)

    def _check(self, notice: notices.Notice, holds: bool, description: str) -> None:
        self._verdict.check(holds, f"MEANING: {notice.daemon} tells of {description}")
