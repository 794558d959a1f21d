"""Items of other writers and of upstreams that are malformed cost themselves only."""

import msgspec
import pytest

from tanagerfork import errors
from tanagerfork.platform import entries, runners
from tanagerfork.relay import exchange, members, plans
from tanagerfork_standins.platform import site
from tests.relay import deployments

DEPTH = 100_000
DEEP = b"[" * DEPTH + b"]" * DEPTH
HUGE = b"1" + b"0" * 400
MALFORMED_UPSTREAM = "i-malformed"


def make_entry(service: str = site.PLAIN_SERVICE, **raw_fields: bytes) -> bytes:
    """Return an entry whose fields are replaced or extended by raw JSON."""
    fields: dict[str, object] = {
        "service": service,
        "address": "127.0.0.1:9",
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": 1,
    }
    raw = {name: msgspec.Raw(value) for name, value in raw_fields.items()}
    return msgspec.json.encode({**fields, **raw})


def make_member(address: bytes = b'"127.0.0.1:9"', **raw_group: bytes) -> bytes:
    """Return an entry of a model's upstream that claims to be the open head of a group."""
    group = {"name": b'"g"', "epoch": b"1", "rank": b"0", "state": b'"open"', **raw_group}
    raw = msgspec.json.encode({name: msgspec.Raw(value) for name, value in group.items()})
    models = msgspec.json.encode([{"name": site.SMALL_MODEL}])
    return make_entry(
        site.ENGINE_SERVICE, address=address, domain=b'"a-f0"', models=models, group=raw
    )


def leave_out(name: str) -> bytes:
    """Return an entry without one of its fields."""
    fields = msgspec.json.decode(make_entry())
    del fields[name]
    return msgspec.json.encode(fields)


REQUIRED = ("service", "address", "zone", "version", "slots", "state", "coldLeftMs", "seq")
OTHER_TYPES = [b"null", b"[]", b"{}", b"true"]
MALFORMED_ENTRIES = {
    **{f"no {name}": leave_out(name) for name in REQUIRED},
    "number as version": make_entry(version=b"1"),
    "text as slots": make_entry(slots=b'"6"'),
    "text as cold time": make_entry(coldLeftMs=b'"0"'),
    "text as refresh count": make_entry(seq=b'"1"'),
    "fraction as refresh count": make_entry(seq=b"1.5"),
    "unknown state": make_entry(state=b'"resting"'),
    "deep": DEEP,
    "deep unknown field": make_entry(note=DEEP),
    "deep known field": make_entry(coldLeftMs=DEEP),
    "huge slots": make_entry(slots=HUGE),
    "negative slots": make_entry(slots=b"-3"),
    "huge refresh count": make_entry(seq=HUGE),
    "huge start": make_entry(born=HUGE),
    "huge epoch": make_member(epoch=HUGE),
    "negative epoch": make_member(epoch=b"-1"),
    "huge rank": make_member(rank=HUGE),
    "port above the range": make_entry(address=b'"127.0.0.1:65536"'),
    "port below the range": make_entry(address=b'"127.0.0.1:0"'),
    "negative port": make_entry(address=b'"127.0.0.1:-80"'),
    "port with many digits": make_entry(address=b'"127.0.0.1:' + b"9" * 5000 + b'"'),
    "port that is no plain number": make_entry(address=b'"127.0.0.1:8_0"'),
    "address without a host": make_entry(address=b'":80"'),
    "address of no IPv4 host": make_entry(address=b'"::1:80"'),
    "member with a port above the range": make_member(address=b'"127.0.0.1:65536"'),
    "no text": b"\xff\xfe",
}


async def check_that_service_goes_on(deployed: deployments.Deployment) -> None:
    """Check that a new configuration comes into force and that requests are served by it."""
    register = deployed.daemons[0].register
    version = deployed.site.version
    deployed.site.write_config()
    await deployed.wait_until(
        lambda: register.current and register.current.version == version,
        "the new configuration is in force",
    )
    for number in range(6):
        assert (await deployed.ask(f"/unsafe/{number}", "POST")).status == 200
        assert (await deployed.ask(f"/stream/{number}", "POST", b"hello")).status == 200
    assert not deployed.log.find('"task failed')


class TestDecoding:
    def test_complete_entry_is_read_and_one_with_another_type_is_not(self) -> None:
        """Entries of other writers that lacked fields moved an upstream to another service."""
        assert entries.decode_entry("servers/u", make_entry()) is not None
        assert entries.decode_entry("servers/u", make_member()) is not None
        for name in REQUIRED:
            for value in OTHER_TYPES:
                changed = msgspec.json.decode(make_entry())
                changed[name] = msgspec.Raw(value)
                found = entries.decode_entry("servers/u", msgspec.json.encode(changed))
                assert found is None, (name, value)
        for value in MALFORMED_ENTRIES.values():
            assert entries.decode_entry("servers/u", value) is None


class TestUpstreamEntries:
    @pytest.mark.parametrize("name", MALFORMED_ENTRIES)
    async def test_malformed_entry_stops_neither_configuration_nor_groups(self, name: str) -> None:
        async with deployments.deploy() as deployed:
            await deployed.wait_for_rules()
            deployed.site.store.put(f"servers/{MALFORMED_UPSTREAM}", MALFORMED_ENTRIES[name])
            await deployed.wait_for_group()
            await check_that_service_goes_on(deployed)
            assert MALFORMED_UPSTREAM not in deployed.daemons[0].view.ids

    async def test_malformed_entry_that_was_there_first_keeps_no_daemon_from_starting(self) -> None:
        async with deployments.deploy(daemon_count=0) as deployed:
            for number, value in enumerate(MALFORMED_ENTRIES.values()):
                deployed.site.store.put(f"servers/{MALFORMED_UPSTREAM}{number}", value)
            await deployed.add_daemon()
            await deployed.wait_for_group()
            await check_that_service_goes_on(deployed)

    async def test_incomplete_entry_moves_no_upstream_to_another_service(self) -> None:
        async with deployments.deploy(engines=0, plain=2) as deployed:
            await deployed.wait_for_rules()
            moved = deployed.site.plain_runners[0]
            entry = {"service": site.ENGINE_SERVICE, "address": moved.address, "zone": "a"}
            value = msgspec.json.encode({**entry, "state": "ready"})
            deployed.site.store.put(f"servers/{moved.id}", value)
            view = deployed.daemons[0].view
            await deployed.wait_until(lambda: moved.id not in view.ids, "the entry is read")
            moved.publish_entry()
            await deployed.wait_until(lambda: moved.id in view.ids, "its own entry is back")
            assert view.find(moved.id).service == site.PLAIN_SERVICE

    async def test_entry_with_a_large_epoch_keeps_no_group_from_forming(self) -> None:
        """Groups were formed with epochs above it, which could not be read any more."""
        async with deployments.deploy(daemon_count=0) as deployed:
            for epoch in (2**52, 2**53, 2**63 - 1):
                value = make_member(epoch=str(epoch).encode())
                deployed.site.store.put(f"servers/i-{epoch}", value)
            await deployed.add_daemon()
            await deployed.wait_for_group()
            await check_that_service_goes_on(deployed)


class TestOtherItems:
    @pytest.mark.parametrize(
        "key", ["op/config", "tanagerfork/daemons/malformed", "tanagerfork/quarantine/malformed"]
    )
    async def test_deeply_nested_value_stops_no_later_configuration(self, key: str) -> None:
        async with deployments.deploy() as deployed:
            await deployed.wait_for_group()
            deployed.site.store.put(key, b'{"note":' + DEEP + b"}")
            await deployed.wait_until(
                lambda: deployed.log.find("cannot be decoded"), "the value is read"
            )
            await check_that_service_goes_on(deployed)

    async def test_deeply_nested_report_costs_no_other_group(self) -> None:
        async with deployments.deploy(engines=8) as deployed:
            await deployed.wait_for_group()
            malformed = next(item for item in deployed.site.engine_runners if item.membership)
            malformed.extra_report_fields = {"note": msgspec.Raw(DEEP)}
            await deployed.wait_until(
                lambda: deployed.log.find('"member does not answer"', malformed.id),
                "the report counts as none",
            )
            await check_that_service_goes_on(deployed)

    async def test_deeply_nested_record_of_groups_leaves_requests_served(self) -> None:
        async with deployments.deploy() as deployed:
            await deployed.wait_for_group()
            for key in ("tanagerfork/assignments/a", "lease/a"):
                deployed.site.store.put(key, b'{"note":' + DEEP + b"}")
            await deployed.wait_until(
                lambda: deployed.log.find('"no longer coordinator"'), "the records are read"
            )
            await check_that_service_goes_on(deployed)

    @pytest.mark.parametrize("address", ["127.0.0.1:65536", "127.0.0.1:x", "nowhere"])
    async def test_daemon_entry_with_an_unusable_address_costs_no_notices(
        self, address: str
    ) -> None:
        async with deployments.deploy(daemon_count=2) as deployed:
            await deployed.wait_for_group()
            record = {"failure_domain": "a", "address": address, "forwarding": address}
            deployed.site.store.put("tanagerfork/daemons/daemon-0", msgspec.json.encode(record))
            await deployed.wait_until(
                lambda: deployed.log.find("daemon entry cannot be decoded"), "the entry is read"
            )
            await check_that_service_goes_on(deployed)
            sent = deployed.daemons[0].metrics.counter_value("peer_messages_sent_total")
            await deployed.wait_until(
                lambda: deployed.daemons[0].metrics.counter_value("peer_messages_sent_total")
                > sent + 3,
                "notices are sent",
            )

    async def test_configuration_with_a_huge_version_does_not_keep_later_ones_out(self) -> None:
        async with deployments.deploy() as deployed:
            await deployed.wait_for_group()
            config = {**deployed.site.make_config(), "version": msgspec.Raw(HUGE)}
            deployed.site.store.put("op/config", msgspec.json.encode(config))
            await deployed.wait_until(
                lambda: deployed.log.find("configuration cannot be decoded"), "the value is read"
            )
            await check_that_service_goes_on(deployed)


class TestResponses:
    async def test_load_with_huge_figures_costs_no_later_request(self) -> None:
        async with deployments.deploy() as deployed:
            await deployed.wait_for_group()
            for upstream in (*deployed.site.plain_runners, *deployed.site.engine_runners):
                upstream.waiting_count = int(HUGE)
            await check_that_service_goes_on(deployed)

    async def test_event_with_a_huge_id_is_relayed(self) -> None:
        async with deployments.deploy(engines=2) as deployed:
            await deployed.wait_for_group()
            for upstream in deployed.site.engine_runners:
                upstream.id_prefix = "1" * 5000
            response = await deployed.ask("/stream/x", "POST", b"hello")
            assert response.status == 200 and response.is_whole
            assert response.body.count(b"data:") == deployed.site.engine_runners[0].events


class TestConnections:
    @pytest.mark.parametrize("address", ["127.0.0.1:65536", "127.0.0.1:x", "nowhere"])
    async def test_no_connection_to_an_unusable_address_is_an_upstream_out_of_reach(
        self, address: str
    ) -> None:
        """Addresses of members are read from the record of groups too."""
        upstream = members.Upstream("i-malformed", site.ENGINE_SERVICE, address, "a", False, 6, 1)
        order = plans.Order(plans.LEAVE, "i-malformed", address, "g", 1, "", ())
        session = exchange.open_session(is_pooled=False)
        try:
            client = runners.RunnerClient(session, session, 100, 100)
            for outcome in (await client.probe(upstream), await client.send_order(order, 1, 0)):
                assert isinstance(outcome.err(), errors.UpstreamUnreachable)
        finally:
            await session.close()
