"""Tests of the HTTP listeners: TLS, certificate reload, limits, tokens and addresses."""

import asyncio
import contextlib
import dataclasses
import datetime
import hashlib
import ipaddress
import os
import pathlib
import ssl

import aiohttp
import aiohttp.web
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from tanagerfork import clock as clocks
from tanagerfork import errors, settings
from tanagerfork import metrics as metric
from tanagerfork.front import bounds, listener, teams
from tanagerfork.generated import bundle
from tanagerfork.generated import settings as settings_records
from tanagerfork.timeline import ring
from tests import commands, sites

EMBEDDED_SETTINGS = pathlib.Path(__file__).parent.parent / "examples" / "press" / "embedded.json5"
TOKEN_SHA256 = hashlib.sha256(b"operators-token").hexdigest()


def write_certificate(folder: pathlib.Path, serial: int) -> tuple[pathlib.Path, pathlib.Path]:
    """Write a self-signed certificate for loopback, and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, "tanagerfork test")])
    today = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address(sites.HOST))
    certificate = (
        x509.CertificateBuilder(name, name, key.public_key(), serial)
        .not_valid_before(today - datetime.timedelta(days=1))
        .not_valid_after(today + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), False)
        .add_extension(x509.BasicConstraints(True, None), True)
        .sign(key, hashes.SHA256())
    )
    paths = folder / "certificate.pem", folder / "key.pem"
    paths[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    paths[1].write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    for path in paths:
        os.utime(path, ns=(serial, serial))
    return paths


async def read_serial(port: int, trusted: pathlib.Path) -> int:
    """Return the serial number of the certificate served on a port."""
    context = ssl.create_default_context(cafile=trusted)
    _, writer = await asyncio.open_connection(sites.HOST, port, ssl=context)
    encoded = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
    writer.close()
    return x509.load_der_x509_certificate(encoded).serial_number


@contextlib.asynccontextmanager
async def run_listener(max_connections: int = 10, certificate=None):
    """Run a listener that responds with ok."""

    async def answer(request):
        return aiohttp.web.Response(text="ok")

    app = aiohttp.web.Application()
    app.router.add_get("/", answer)
    metrics = metric.Metrics()
    opened = listener.Listener(app, sites.HOST, 0, max_connections, metrics, certificate)
    port = await opened.start()
    try:
        yield port, metrics
    finally:
        await opened.stop()


@dataclasses.dataclass
class RenewingListener:
    """A running listener that reloads its certificate, with the clock that drives the checks."""

    port: int
    clock: clocks.ManualClock
    metrics: metric.Metrics
    timeline: ring.Timeline


@contextlib.asynccontextmanager
async def run_renewing_listener(paths: tuple[pathlib.Path, pathlib.Path]):
    """Run a listener that reloads renewed certificates."""
    certificate = listener.Certificate(*map(str, paths))
    clock = clocks.ManualClock()
    async with run_listener(certificate=certificate) as (port, metrics):
        running = RenewingListener(port, clock, metrics, ring.Timeline("a", clock, 10))
        following = asyncio.create_task(
            listener.follow_certificate(certificate, clock, running.timeline, metrics)
        )
        yield running
        following.cancel()


class TestCertificates:
    async def test_renewed_certificate_is_served_without_a_restart(self, tmp_path):
        paths = write_certificate(tmp_path, 1)
        async with run_renewing_listener(paths) as running:
            assert await read_serial(running.port, paths[0]) == 1
            write_certificate(tmp_path, 2)
            await run_certificate_check(running.clock)
            assert await read_serial(running.port, paths[0]) == 2
        assert running.metrics.counter_value("certificate_reloads_total") == 1

    async def test_mismatched_pair_leaves_the_old_one_in_use(self, tmp_path):
        paths = write_certificate(tmp_path, 1)
        trusted = tmp_path / "trusted.pem"
        trusted.write_bytes(paths[0].read_bytes())
        async with run_renewing_listener(paths) as running:
            old_key = paths[1].read_bytes()
            write_certificate(tmp_path, 2)
            new_key = paths[1].read_bytes()
            paths[1].write_bytes(old_key)
            for _ in range(2):
                await run_certificate_check(running.clock)
            assert await read_serial(running.port, trusted) == 1
            paths[1].write_bytes(new_key)
            await run_certificate_check(running.clock)
            assert await read_serial(running.port, paths[0]) == 2
        assert running.metrics.counter_value("certificate_reloads_failed_total") == 2
        kinds = [event.kind for event in running.timeline.read().events]
        assert kinds == ["certificate.refused", "certificate.renewed"]

    def test_unusable_key_is_refused_at_start(self, tmp_path):
        paths = write_certificate(tmp_path, 1)
        paths[1].write_text("no key")
        with pytest.raises(errors.SettingsError, match="private key"):
            listener.Certificate(*map(str, paths))


async def run_certificate_check(clock: clocks.ManualClock) -> None:
    """Advance the clock so that the files are checked once."""
    await asyncio.sleep(0)
    clock.advance(listener.CERTIFICATE_CHECK_INTERVAL_MS)
    for _ in range(5):
        await asyncio.sleep(0)


class TestTlsEndToEnd:
    def test_tool_verifies_the_daemon_with_the_given_ca_file(self, tmp_path):
        certificate, key = write_certificate(tmp_path, 7)
        other = tmp_path / "other"
        other.mkdir()
        untrusted, _ = write_certificate(other, 8)
        with commands.run_offices(certificate=(str(certificate), str(key))) as site:
            url = site.daemon_options[1].replace("http:", "https:")
            at = ["--daemon", url, "--ca-file"]
            shown = commands.call("bundle", "show", *at, str(certificate))
            assert "no bundle is in force" in shown.stdout
            refused = commands.call("bundle", "show", *at, str(untrusted), status=1)
            commands.assert_one_line(refused, "certificate verify failed")


class TestBounds:
    async def test_connections_over_the_limit_are_closed_and_counted(self):
        async with run_listener(max_connections=2) as (port, metrics):
            held = [await asyncio.open_connection(sites.HOST, port) for _ in range(2)]
            for _, writer in held:
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            assert b"200" in await held[0][0].readline()
            assert b"200" in await held[1][0].readline()
            reader, refused = await asyncio.open_connection(sites.HOST, port)
            await held[0][0].readuntil(b"ok")
            assert await held[0][0].read() == b""  # It was idle for longest.
            assert metrics.counter_value("client_bounds_total", bound="room") == 1
            for _, writer in [*held, (reader, refused)]:
                writer.close()

    @pytest.mark.parametrize("length", [bounds.HEADER_BYTES * 2, 1_000_000])
    async def test_header_over_the_size_limit_is_refused(self, length):
        async with run_listener() as (port, _):
            reader, writer = await asyncio.open_connection(sites.HOST, port)
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * length + b"\r\n\r\n")
            assert b"431" in await reader.readline()
            writer.close()

    async def test_handshakes_that_do_not_end_leave_room_for_others(self, tmp_path):
        paths = write_certificate(tmp_path, 3)
        certificate = listener.Certificate(*map(str, paths))
        async with run_listener(max_connections=8, certificate=certificate) as (port, metrics):
            held = [await asyncio.open_connection(sites.HOST, port) for _ in range(20)]
            await asyncio.sleep(0.2)
            assert metrics.counter_value("connections_refused_total") >= 15
            for _, writer in held:
                writer.close()
            await asyncio.sleep(0.2)
            assert await read_serial(port, paths[0]) == 3


class TestTokens:
    @pytest.mark.parametrize("token", ["", "wrong", "tést", "\udcff", "x" * 5000])
    def test_wrong_token_of_any_bytes_belongs_to_no_team(self, token):
        team = bundle.Team(name="growers", token_sha256=[TOKEN_SHA256])
        known = bundle.Bundle(name="b", models=[], services=[], teams=[team])
        found = teams.find_team(known, f"Bearer {token}")
        assert isinstance(found.unwrap_err(), errors.Unauthorized)
        assert teams.find_team(known, "Bearer operators-token").unwrap() is team

    def test_every_known_token_is_compared_whichever_matches(self, monkeypatch):
        listed = [
            bundle.Team(name=str(n), token_sha256=[hashlib.sha256(f"t{n}".encode()).hexdigest()])
            for n in range(5)
        ]
        known = bundle.Bundle(name="b", models=[], services=[], teams=listed)
        counts = []
        for wanted in ("t0", "t4", "none"):
            compared = []
            real = teams.matches_token_hash
            monkeypatch.setattr(
                teams,
                "matches_token_hash",
                lambda *pair, kept=compared, real=real: kept.append(1) or real(*pair),
            )
            teams.find_team(known, f"Bearer {wanted}")
            monkeypatch.undo()
            counts.append(len(compared))
        assert counts == [5, 5, 5]

    async def test_operators_listener_requires_its_token(self):
        async with sites.run_site(groups=1, vms=4, operators_token_sha256=TOKEN_SHA256) as running:
            table = [({}, 401), ({"Authorization": "Bearer wrong"}, 401)]
            table.append(({"Authorization": "Bearer operators-token"}, 200))
            for headers, status in table:
                url = running.operators_url + "/v1/status"
                async with running.session.get(url, headers=headers) as response:
                    assert response.status == status
            async with running.session.get(running.operators_url + "/readyz") as response:
                assert response.status == 200


class TestSettings:
    @pytest.mark.parametrize(
        ("overrides", "field"),
        [
            (["operators.host=10.0.0.5"], "operators.token_sha256"),
            (["operators.host='::'"], "operators.token_sha256"),
            (["operators.token_sha256=abc"], "operators.token_sha256"),
            (["callers.certificate_path=/nowhere.pem"], "callers.private_key_path"),
            (["operators.private_key_path=/nowhere.pem"], "operators.certificate_path"),
            (
                ["callers.certificate_path=/nowhere.pem", "callers.private_key_path=/nowhere.pem"],
                "callers.certificate_path",
            ),
        ],
    )
    def test_insecure_listener_is_refused_with_a_remedy(self, overrides, field):
        with pytest.raises(errors.SettingsError) as caught:
            settings.load_settings(EMBEDDED_SETTINGS, overrides)
        assert field in caught.value.message and ";" in caught.value.message

    def test_operators_listener_on_another_address_is_accepted_with_a_token(self):
        overrides = ["operators.host=10.0.0.5", f"operators.token_sha256='{TOKEN_SHA256}'"]
        assert (
            settings.load_settings(EMBEDDED_SETTINGS, overrides).operators.token_sha256
            == TOKEN_SHA256
        )


class TestAddress:
    @pytest.mark.parametrize(
        ("host", "certificate", "address"),
        [
            ("10.0.0.5", "", "http://10.0.0.5:80"),
            ("10.0.0.5", "a.pem", "https://10.0.0.5:80"),
            ("0.0.0.0", "", "http://10.0.0.9:80"),
            ("::1", "", "http://[::1]:80"),
        ],
    )
    def test_advertised_address_is_reachable_by_peers(self, host, certificate, address):
        bound = settings_records.Listener(host=host, port=0, certificate_path=certificate)
        assert listener.name_address(bound, 80, "10.0.0.9") == address
