"""Forms of notices of this build and of earlier ones, and notices that are none."""

import asyncio
import random

import msgspec
import pytest
from tools import messages, samples

from tanagerfork import clock as clocks
from tanagerfork import decisions
from tanagerfork import metrics as metric
from tanagerfork.generated import notices
from tanagerfork.peers import link
from tanagerfork.relay import daemon_directory, notice_codec, peers, refused_notices
from tests.relay import deployments

APPENDED = daemon_directory.DaemonRecord("a", "127.0.0.1:1")
INSERTED = daemon_directory.DaemonRecord("a", "127.0.0.1:1", "127.0.0.1:2")
PRESENT = daemon_directory.DaemonRecord("a", "127.0.0.1:1", "127.0.0.1:2", "0.8.0", 1)
LATER = daemon_directory.DaemonRecord("a", "127.0.0.1:1", "127.0.0.1:2", "0.9.0", 2)


class TestForms:
    @pytest.mark.parametrize(
        ("record", "form"),
        [
            (APPENDED, notice_codec.Form.APPENDED),
            (INSERTED, notice_codec.Form.INSERTED),
            (PRESENT, notice_codec.Form.APPENDED),
            (LATER, notice_codec.Form.APPENDED),
        ],
    )
    def test_entry_says_which_form_a_daemon_reads(
        self, record: daemon_directory.DaemonRecord, form: notice_codec.Form
    ) -> None:
        assert notice_codec.find_form(record) is form

    @pytest.mark.parametrize("name", samples.NOTICES)
    @pytest.mark.parametrize("form", notice_codec.Form)
    def test_every_notice_is_read_in_either_form(self, name: str, form: notice_codec.Form) -> None:
        """The build that inserted a field knows none that was appended after it."""
        notice = samples.list_notices()[name]
        found = notice_codec.decode(notice_codec.encode(notice, form))
        if form is notice_codec.Form.INSERTED:
            notice = msgspec.structs.replace(
                notice,
                demands=[],
                answers=[],
                heard=None,
                wanted_rules=0,
                rules="",
                quarantines=None,
            )
        assert found == notice_codec.ReadNotice(notice, form)

    def test_fields_that_a_later_build_appends_are_ignored(self) -> None:
        notice = samples.list_notices()["closed"]
        items = msgspec.msgpack.decode(notice_codec.encode(notice))
        frame = msgspec.msgpack.encode([*items, {"new": 1}, 5])
        assert notice_codec.decode(frame).notice == notice


def change(frame: bytes, position: int, value: object) -> bytes:
    """Return a frame with another value of one field."""
    items = msgspec.msgpack.decode(frame)
    items[position] = value
    return msgspec.msgpack.encode(items)


POSITIONS = {name: at for at, name in enumerate(notices.Notice.__struct_fields__)}
LOADS = bytes.fromhex(messages.load_samples("158eaf0")["notices"]["loads"])


class TestMutants:
    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("daemon", ""),
            ("daemon", 5),
            ("rules_version", -1),
            ("rules_version", "7"),
            ("loads", None),
            ("loads", [["i-1", -2, 300]]),
            ("loads", [["i-1", 2]]),
            ("silent", "i-1"),
            ("closed", [["i-1", -1]]),
            ("changes", [7, 9, []]),
            ("covers", "region"),
            ("has_loads", 1),
        ],
    )
    def test_changed_type_or_value_out_of_range_is_refused(self, field: str, value: object) -> None:
        with pytest.raises(notice_codec.UnreadableNotice):
            notice_codec.decode(change(LOADS, POSITIONS[field], value))

    @pytest.mark.parametrize("length", range(4))
    def test_notice_without_a_required_field_is_refused(self, length: int) -> None:
        items = msgspec.msgpack.decode(LOADS)[:length]
        with pytest.raises(notice_codec.UnreadableNotice):
            notice_codec.decode(msgspec.msgpack.encode(items))

    @pytest.mark.parametrize("length", range(4, 14))
    def test_missing_field_has_its_default(self, length: int) -> None:
        items = msgspec.msgpack.decode(LOADS)[:length]
        found = notice_codec.decode(msgspec.msgpack.encode(items)).notice
        assert not found.leaving and found.covers == "daemon"

    def test_frame_that_is_cut_short_is_refused(self) -> None:
        for length in range(len(LOADS)):
            with pytest.raises(notice_codec.UnreadableNotice):
                notice_codec.decode(LOADS[:length])

    @pytest.mark.parametrize("frame", [b"", b"\xc1", b"\xa1\xff", b"\x91" * 5000, b"{}"])
    def test_other_bytes_are_refused_and_have_no_sender(self, frame: bytes) -> None:
        with pytest.raises(notice_codec.UnreadableNotice):
            notice_codec.decode(frame)
        assert notice_codec.read_sender(frame) == ""


class TestChoiceOfForm:
    async def test_daemon_gets_the_form_that_it_writes_whatever_its_entry_says(self) -> None:
        """The entry may be of an earlier build under the same name, as after a restored store."""
        async with deployments.deploy(engines=0, plain=0) as deployed:
            inbox = link.Inbox("127.0.0.1", 0, peers.MAX_NOTICE_BYTES)
            entry = daemon_directory.DaemonRecord("b", inbox.address, "127.0.0.1:9", "0.8.0", 1)
            key = daemon_directory.DAEMON_PREFIX + "d9"
            deployed.site.store.put(key, msgspec.json.encode(entry))
            async with asyncio.timeout(deployments.WAIT_S):
                frame = await inbox.receive()
            assert notice_codec.decode(frame).form is notice_codec.Form.APPENDED
            own = deployed.daemons[0]
            sender = link.LinkTable(1, own.clock, random.Random(1), metric.Metrics())
            frame = bytes.fromhex(messages.load_samples("240a1b7")["notices"]["silent"])
            sender.send(own.peers.address, frame)
            async with asyncio.timeout(deployments.WAIT_S):
                while notice_codec.decode(await inbox.receive()).form is notice_codec.Form.APPENDED:
                    pass
            sender.close()
            inbox.close()


class TestRefusedNotices:
    def test_each_is_counted_and_few_are_logged_with_the_build_of_the_sender(self) -> None:
        clock, lines, metrics = clocks.ManualClock(), deployments.LineList(), metric.Metrics()
        log = decisions.DecisionLog("d0", clock, lines)
        directory = daemon_directory.DaemonDirectory(None, "d0", PRESENT, clock, log)
        directory.daemons["d9"] = LATER
        refused = refused_notices.RefusedNotices(directory, clock, log, metrics)
        frame = msgspec.msgpack.encode(["d9", -1])
        for _ in range(500):
            refused.note(frame, "Expected `int` >= 0")
        assert metrics.counter_value("relay_notices_refused_total") == 500
        assert len(lines.find("notice cannot be decoded", "d9", "0.9.0")) == 1
        clock.advance(refused_notices.LOG_INTERVAL_MS)
        refused.note(frame, "Expected `int` >= 0")
        assert len(lines.find('"unlogged_before":499')) == 1
