"""Upstreams and daemons that stop within an answer, and in its head above all, and close."""

import asyncio
import collections
import dataclasses
from collections.abc import Iterator

import pytest

from tanagerfork.relay import budget
from tanagerfork_standins import transports
from tanagerfork_standins.platform import site
from tests.relay import deployments, raw_answers, test_forwarding

EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
LENGTH = b"Content-Length: %d\r\n" % len(EVENTS)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"%x\r\n%s\r\n0\r\nX-Trailer: y\r\n\r\n" % (len(EVENTS), EVENTS)
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
WHOLE_AT = 10_000  # Beyond the end of every answer.


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """Kind of answer that is cut at each `step`-th byte of its head, or of its body if it has one.

    The headers that every answer has come after `framing` with `is_framed_first`, else before it.
    """

    begin: bytes = b""
    framing: bytes = b""
    body: bytes = b""
    is_framed_first: bool = True
    line_end: bytes = b"\r\n"
    step: int = 1

    def make(self, request_id: str) -> bytes:
        stamps = raw_answers.make_stamps(request_id)
        lines = self.framing + stamps if self.is_framed_first else stamps + self.framing
        head = self.begin + raw_answers.OK + lines + b"\r\n"
        return head.replace(b"\r\n", self.line_end) + self.body


HEADS = {
    "length": Kind(framing=LENGTH),
    "stamps_first": Kind(framing=LENGTH, is_framed_first=False, step=3),
    "chunked": Kind(framing=CHUNKED, step=3),
    "unframed": Kind(step=3),
    "after_early_hints": Kind(begin=EARLY_HINTS, framing=LENGTH, step=3),
    "unframed_after_early_hints": Kind(begin=EARLY_HINTS, step=5),
    "bare_line_feeds": Kind(framing=CHUNKED, line_end=b"\n", step=3),
}
BODIES = {
    "short_body": Kind(framing=LENGTH, body=EVENTS),
    "short_chunks": Kind(framing=CHUNKED, body=CHUNKS),
}


class CutAnswers:
    """Answers the first run of each request with a cut answer, and later runs with a whole one.

    A request's target ends with the kind of the answer and the number of bytes that are written.
    """

    def __init__(self, is_reset: bool) -> None:
        self._is_reset = is_reset
        self.runs: collections.Counter[str] = collections.Counter()

    async def write(self, transport: asyncio.Transport, request_id: str, target: str) -> None:
        self.runs[target] += 1
        kind, cut_at = target.split("/")[2:]
        if self.runs[target] > 1:
            transport.write(HEADS["length"].make(request_id) + EVENTS)
            return
        transport.write((HEADS | BODIES)[kind].make(request_id)[: int(cut_at)])
        await asyncio.sleep(0.001)
        if self._is_reset:
            transports.reset(transport)
        transport.close()


def list_cuts(kinds: dict[str, Kind]) -> Iterator[str]:
    """Return the ends of the targets for each cut point of each kind of answer."""
    for name, kind in kinds.items():
        length = len(kind.make(f"r{next(deployments.IDS)}"))
        begin = length - len(kind.body) if kind.body else 0
        for cut_at in range(begin, length, kind.step):
            yield f"{name}/{cut_at}"


@pytest.fixture(autouse=True)
def unlimited_retries(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(budget.RetryBudget, "try_acquire", lambda *_: True)


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
class TestCutAnswer:
    @pytest.mark.parametrize(
        "kinds, route",
        [
            (HEADS, "safe"),
            (HEADS, "unsafe"),
            (HEADS, "stream"),
            (BODIES, "safe"),
            (BODIES, "unsafe"),
        ],
    )
    async def test_it_is_no_success_and_is_repeated_only_where_allowed(
        self, kinds: dict[str, Kind], route: str, is_reset: bool
    ) -> None:
        answers = CutAnswers(is_reset)
        async with deployments.deploy(engines=8) as deployed:
            await deployed.wait_until(
                lambda: len(deployed.daemons[0].view.list_groups(site.ENGINE_SERVICE, "")) == 3,
                "three groups",
            )
            members = [*deployed.site.engine_runners, *deployed.site.plain_runners]
            raw_answers.replace_answers(members, answers.write)
            for cut in list_cuts(kinds):
                path = f"/{route}/{cut}"
                response = await deployed.ask(path, "GET" if route == "safe" else "POST")
                if route == "unsafe":
                    assert (response.status, answers.runs[path]) == (502, 1), path
                else:
                    assert (response.status, answers.runs[path]) == (200, 2), path
                    assert response.is_whole and response.body == EVENTS, path

    @pytest.mark.parametrize(
        "kinds, route", [(HEADS, "unsafe"), (HEADS, "stream"), (BODIES, "safe"), (BODIES, "stream")]
    )
    async def test_it_is_no_success_where_another_daemon_sent_it(
        self, kinds: dict[str, Kind], route: str, is_reset: bool
    ) -> None:
        answers = CutAnswers(is_reset)
        async with deployments.deploy(has_networks=True) as deployed:
            await test_forwarding.cut_off(deployed)
            async with raw_answers.run_daemon(deployed, answers.write):
                for cut in list_cuts(kinds):
                    path = f"/{route}/{cut}"
                    response = await deployed.ask(path, "GET" if route == "safe" else "POST")
                    assert answers.runs[path] == 1, path
                    assert response.status == 502 or not response.is_whole, path
