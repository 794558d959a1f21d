"""Tests of the operators' listener."""

import asyncio
import json

import msgspec
import pytest
from cryptography.hazmat.primitives.asymmetric import ed25519

from tanagerfork.cli import drafts
from tanagerfork.front import operators as fronts
from tanagerfork.generated import operators
from tests import sites

EMPTY_SNAPSHOT = operators.BundleSnapshot(version=0, manifest_sha256="", bundle_json="")
EMPTY_BUNDLE = drafts.decode_bundle("")


def make_roll_call(
    base: operators.BundleSnapshot = EMPTY_SNAPSHOT, operator: str = "embedded"
) -> bytes:
    """Return a roll call signed with an unknown key."""
    key = ed25519.Ed25519PrivateKey.generate()
    return msgspec.json.encode(drafts.sign_draft(EMPTY_BUNDLE, base, operator, key))


async def send(running: sites.RunningSite, method: str, path: str, body: bytes | None = None):
    """Send a request; return the status and the body of the response."""
    url = running.operators_url + path
    async with running.session.request(method, url, data=body) as response:
        return response.status, await response.read()


class TestRefusals:
    async def test_invalid_calls_get_a_typed_error_and_change_nothing(self):
        table = [
            ("POST", "/v1/bundle/roll", b"", 400, "bad_request"),
            ("POST", "/v1/bundle/roll", b"\xff\x00", 400, "bad_request"),
            ("POST", "/v1/bundle/roll", b'{"manifest_json": 5}', 400, "bad_request"),
            ("POST", "/v1/bundle/roll", make_roll_call(), 403, "signature_invalid"),
            (
                "POST",
                "/v1/bundle/roll",
                make_roll_call(operator="nobody"),
                403,
                "signature_invalid",
            ),
            (
                "POST",
                "/v1/bundle/roll",
                b"x" * (fronts.BODY_LIMIT_BYTES + 1),
                413,
                "body_too_large",
            ),
            ("GET", "/v1/bundle/parts/" + "0" * 64, None, 404, "not_found"),
            ("GET", "/v1/timeline?after=x", None, 400, "bad_request"),
            ("GET", "/v1/timeline?after=--1", None, 400, "bad_request"),
            ("GET", "/v1/timeline?after=%C2%B2", None, 400, "bad_request"),
        ]
        async with sites.run_site(groups=1, vms=4) as running:
            for method, path, body, status, kind in table:
                answered, text = await send(running, method, path, body)
                error = json.loads(text)["error"]
                assert (answered, error["kind"]) == (status, kind), path
                assert error["message"]
            assert running.daemon.bundles.version == 1

    async def test_calls_over_the_limit_get_a_retry_delay(self, monkeypatch):
        monkeypatch.setattr(fronts, "MAX_OPEN_CALLS", 0)
        async with sites.run_site(groups=1, vms=4) as running:
            status, text = await send(running, "GET", "/v1/status")
            assert status == 503
            assert json.loads(text)["error"]["retry_after_ms"] == fronts.OVERLOAD_RETRY_AFTER_MS
            assert (await send(running, "GET", "/healthz"))[0] == 200

    async def test_call_that_takes_too_long_times_out(self, monkeypatch):
        monkeypatch.setattr(fronts, "CALL_TIMEOUT_S", 0.02)
        async with sites.run_site(groups=1, vms=4) as running:

            async def trickle():
                yield b"{"
                await asyncio.Event().wait()

            url = running.operators_url + "/v1/bundle/roll"
            async with running.session.post(url, data=trickle()) as response:
                assert response.status == 408


class TestReads:
    @pytest.mark.parametrize(
        ("path", "record_type"),
        [
            ("/v1/status", operators.DaemonStatus),
            ("/v1/teams", operators.TeamList),
            ("/v1/latencies", operators.LatencyList),
            ("/v1/bundle/in-force", operators.BundleSnapshot),
        ],
    )
    async def test_response_conforms_to_its_schema(self, path, record_type):
        async with sites.run_site(groups=1, vms=4) as running:
            status, text = await send(running, "GET", path)
            assert status == 200
            assert msgspec.json.decode(text, type=record_type, strict=True)

    async def test_brief_status_leaves_groups_and_peers_out(self):
        async with sites.run_site(groups=1, vms=4) as running:
            _, brief = await send(running, "GET", "/v1/status?brief=1")
            _, full = await send(running, "GET", "/v1/status")
            assert json.loads(brief)["groups"] == [] and len(json.loads(full)["groups"]) == 1

    async def test_measures_are_collected_while_groups_form(self):
        async with sites.run_site(groups=1, vms=5) as running:
            await sites.wait_until(lambda: running.daemon.measures.latest.down_groups == 0)
            await sites.wait_until(lambda: running.daemon.measures.stranded_accelerator_ms > 0)
            assert running.daemon.measures.latest.stranded_accelerators == 8
            _, text = await send(running, "GET", "/metrics")
            assert b'tanagerfork_stranded_accelerators{failure_domain="ipoh-a"} 8' in text


class TestTokens:
    async def test_wrong_token_of_any_bytes_is_refused(self):
        async with sites.run_site(groups=1, vms=4, operators_token_sha256="0" * 64) as running:
            for token in ("", "tést", "x" * 4000):
                headers = {"Authorization": f"Bearer {token}"}
                url = running.operators_url + "/v1/status"
                async with running.session.get(url, headers=headers) as response:
                    assert response.status == 401
