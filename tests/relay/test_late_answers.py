"""Second copies of answers that arrive late on a connection which is in use again."""

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator

import msgspec
import pytest

from tanagerfork.relay import plans
from tanagerfork_standins.platform import site
from tests.relay import deployments


class Copy(enum.Enum):
    """When an upstream sends the copy of its last answer on a connection."""

    AT_ONCE = "right behind the answer"
    IDLE = "while the connection is idle"
    SPLIT = "its first half behind the answer, the rest while the connection is idle"
    SPLIT_OVER_REQUESTS = "its first half behind the answer, the rest before the next one"
    BEFORE_NEXT = "before the next answer"
    BEHIND_INFORMATIONAL = "before the next answer, behind an informational one"
    NEXT_IN_ONE = "before the next answer, in one piece with it"


class CopyingUpstream:
    """A plain upstream that answers properly, and sends each answer once more."""

    IDLE_S = 0.03

    def __init__(self, copy: Copy) -> None:
        self._copy = copy
        self.paths: list[bytes] = []
        self.connections = 0
        self.refuses_next = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        last = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                answer = self._make_answer(head)
                self._send_before(writer, last, answer)
                writer.write(answer)
                await writer.drain()
                await self._send_behind(writer, answer)
                last = answer
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The daemon has closed the connection.
        finally:
            writer.close()

    def _make_answer(self, head: bytes) -> bytes:
        path = head.split(b" ")[1]
        if path == b"/report":
            return b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
        self.paths.append(path)
        name = b"tanagerfork-request-id: "
        at = head.lower().index(name) + len(name)
        body = b"answer to " + path
        return (
            b"HTTP/1.1 200 OK\r\nTanagerfork-Server-Stamp: s\r\nTanagerfork-Request-Id: %s\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (head[at : head.index(b"\r\n", at)], len(body), body)
        )

    def _send_before(self, writer: asyncio.StreamWriter, last: bytes, answer: bytes) -> None:
        if not last:
            return
        if self._copy is Copy.SPLIT_OVER_REQUESTS:
            writer.write(last[len(last) // 2 :])
        elif self._copy is Copy.BEFORE_NEXT:
            writer.write(last)
        elif self._copy is Copy.BEHIND_INFORMATIONAL:
            writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + last)
        elif self._copy is Copy.NEXT_IN_ONE:
            writer.write(last + answer)

    async def _send_behind(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        half = len(answer) // 2
        if self._copy is Copy.AT_ONCE:
            writer.write(answer)
        elif self._copy in (Copy.SPLIT, Copy.SPLIT_OVER_REQUESTS):
            writer.write(answer[:half])
        if self._copy in (Copy.IDLE, Copy.SPLIT):
            await asyncio.sleep(self.IDLE_S)
            writer.write(answer if self._copy is Copy.IDLE else answer[half:])
        await writer.drain()


class RefusingUpstream(CopyingUpstream):
    """A copying upstream that refuses the next request where `refuses_next` is set."""

    def _make_answer(self, head: bytes) -> bytes:
        answer = super()._make_answer(head)
        if self.refuses_next and b"Request-Id" in answer:
            self.refuses_next = False
            self.paths.pop()
            at = answer.index(b"Tanagerfork-Request-Id")
            id_line = answer[at : answer.index(b"\r\n", at)]
            return (
                b"HTTP/1.1 503 Service Unavailable\r\nTanagerfork-Not-Run: 1\r\n%s\r\n"
                b"Content-Length: 0\r\n\r\n" % id_line
            )
        return answer


@contextlib.asynccontextmanager
async def run_upstreams(
    deployed: deployments.Deployment, copy: Copy, kind: type[CopyingUpstream] = CopyingUpstream
) -> AsyncIterator[list[CopyingUpstream]]:
    upstreams = [kind(copy) for _ in range(2)]
    servers = [await asyncio.start_server(item.serve, "127.0.0.1", 0) for item in upstreams]
    for number, server in enumerate(servers):
        entry = {
            "service": site.PLAIN_SERVICE,
            "address": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": 1,
        }
        deployed.site.store.put(f"servers/i-copies{number}", msgspec.json.encode(entry))
    yield upstreams
    for server in servers:
        server.close()


class TestSecondCopy:
    @pytest.mark.parametrize("copy", Copy, ids=lambda copy: copy.name)
    @pytest.mark.parametrize("pause_s", [0.0, 0.01, 0.1])
    async def test_each_caller_gets_the_answer_to_its_own_request(
        self, copy: Copy, pause_s: float
    ) -> None:
        async with (
            deployments.deploy(engines=0, plain=0) as deployed,
            run_upstreams(deployed, copy) as upstreams,
        ):
            await deployed.wait_until(
                lambda: len(deployed.daemons[0].view.list_plain(site.PLAIN_SERVICE)) == 2,
                "both upstreams",
            )
            served = 0
            for number in range(12):
                if number == 6:  # As after a connection that took too long on a busy machine.
                    deployed.daemons[0]._reach_checks.doubt(site.PLAIN_SERVICE)
                path = f"/safe/{number}"
                response = await deployed.ask(path)
                if response.status == 200:
                    served += 1
                    assert response.body == b"answer to " + path.encode()
                else:
                    assert response.status == 502
                await asyncio.sleep(pause_s)
            assert served >= 10
            for number in range(12):
                path = f"/unsafe/{number}"
                response = await deployed.ask(path, "POST")
                assert response.status == 200
                assert response.body == b"answer to " + path.encode()
            ran = [path for item in upstreams for path in item.paths]
            assert all(ran.count(b"/unsafe/%d" % number) == 1 for number in range(12))


class TestRepeatedRefusal:
    @pytest.mark.parametrize(
        "copy",
        [Copy.SPLIT_OVER_REQUESTS, Copy.BEFORE_NEXT, Copy.BEHIND_INFORMATIONAL, Copy.NEXT_IN_ONE],
        ids=lambda copy: copy.name,
    )
    async def test_request_that_ran_is_not_called_refused(self, copy: Copy) -> None:
        async with (
            deployments.deploy(engines=0, plain=0) as deployed,
            run_upstreams(deployed, copy, RefusingUpstream) as upstreams,
        ):
            await deployed.wait_until(
                lambda: len(deployed.daemons[0].view.list_plain(site.PLAIN_SERVICE)) == 2,
                "both upstreams",
            )
            for number in range(8):
                for item in upstreams:
                    item.refuses_next = True
                await deployed.ask(f"/safe/refused{number}")
                path = f"/safe/{number}"
                response = await deployed.ask(path)
                runs = sum(item.paths.count(path.encode()) for item in upstreams)
                assert response.status in (200, 502) or not runs, path
                assert runs <= 2, path
                await asyncio.sleep(0.02)


class CopyingMember:
    """A member that sends each answer once more, before the next one or while it is idle."""

    def __init__(self, statuses: list[int], copies_when_idle: bool) -> None:
        self._statuses = statuses
        self._copies_when_idle = copies_when_idle

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        last = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length:")[2].split()[0])
                await reader.readexactly(length)
                writer.write(last)
                last = b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % self._statuses.pop(0)
                writer.write(last)
                await writer.drain()
                if self._copies_when_idle:
                    await asyncio.sleep(0.02)
                    writer.write(last)
                    last = b""
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The daemon has closed the connection.
        finally:
            writer.close()


class TestRepeatedAnswerToAnOrder:
    @pytest.mark.parametrize("copies_when_idle", [False, True])
    async def test_each_order_gets_its_own_answer(self, copies_when_idle: bool) -> None:
        async with deployments.deploy(engines=0, plain=0) as deployed:
            statuses = [202, 409, 202]
            member = CopyingMember(statuses, copies_when_idle)
            server = await asyncio.start_server(member.serve, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            order = plans.Order(plans.OPEN, "i-copies", address, "g", 1)
            replies = []
            for _ in range(3):
                replies.append(await deployed.daemons[0]._client.send_order(order, 1, None))
                await asyncio.sleep(0.05)
            assert [reply.ok() for reply in replies] == [
                plans.Acceptance.BEGUN,
                None,
                plans.Acceptance.BEGUN,
            ]
            server.close()
