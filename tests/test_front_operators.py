"""Tests of bundle rolls through the operators' listener of a running daemon."""

import asyncio

import msgspec
import pytest

from tanagerfork.bundles import manifest as manifests
from tanagerfork.bundles import signature
from tanagerfork.generated import bundle as records
from tanagerfork.generated import operators
from tanagerfork_standins import embedding
from tests import sites


class OperatorClient:
    """A client that drafts, signs and rolls bundles through a daemon."""

    def __init__(self, running: sites.RunningSite, rolled_by: str = "office") -> None:
        self.running = running
        self.rolled_by = rolled_by
        self.key = running.operator._key

    def draft(self, bundle: records.Bundle) -> operators.RollCall:
        """Return the roll call for a bundle, signed as successor of the one in force."""
        head = self.running.daemon.bundles.current.head
        draft = manifests.draft_manifest(bundle, head.version + 1, head.manifest_sha256)
        signed = signature.sign_manifest(draft.manifest, embedding.OPERATOR, self.key)
        return operators.RollCall(
            manifest_json=signed.manifest_json,
            operator=signed.operator,
            signature=signed.signature,
            rolled_by=self.rolled_by,
            parts=[content.decode() for content in draft.contents.values()],
        )

    async def roll(self, call: operators.RollCall) -> tuple[int, dict]:
        """Roll a signed bundle."""
        url = self.running.operators_url + "/v1/bundle/roll"
        body = msgspec.json.encode(call)
        async with self.running.session.post(url, data=body) as response:
            return response.status, await response.json()


def change_bundle(running: sites.RunningSite, weight: int) -> records.Bundle:
    bundle = sites.make_bundle(running.stand_ins, 1)
    bundle.teams[0].weight = weight
    return bundle


def unsign(call: operators.RollCall) -> None:
    call.signature = ""


def tamper(call: operators.RollCall) -> None:
    call.manifest_json = call.manifest_json.replace('"version":2', '"version":3')


def impersonate(call: operators.RollCall) -> None:
    call.operator = "stranger"


def lose_part(call: operators.RollCall) -> None:
    call.parts = []


def alter_part(call: operators.RollCall) -> None:
    call.parts = [part.replace('"weight":3', '"weight":999') for part in call.parts]


def garble_part(call: operators.RollCall) -> None:
    call.parts = ["x" * len(part) for part in call.parts]


INVALID_ROLLS = [
    (unsign, 403, "signature_invalid", "bundle sign-off"),
    (tamper, 403, "signature_invalid", "sign the bundle off again"),
    (impersonate, 403, "signature_invalid", "operator_keys"),
    (lose_part, 400, "bundle_invalid", "missing"),
    (alter_part, 400, "bundle_invalid", "missing"),
    (garble_part, 400, "bundle_invalid", "missing"),
]


class TestRoll:
    @pytest.mark.parametrize(("spoil", "status", "kind", "remedy"), INVALID_ROLLS)
    async def test_invalid_roll_is_refused_and_the_old_bundle_stays_in_force(
        self, spoil, status, kind, remedy
    ):
        async with sites.run_site(groups=1, vms=4) as running:
            operator_client = OperatorClient(running)
            call = operator_client.draft(change_bundle(running, 3))
            spoil(call)
            answered, body = await operator_client.roll(call)
            assert (answered, body["error"]["kind"]) == (status, kind)
            assert remedy in body["error"]["message"]
            assert running.daemon.bundles.version == 1

    async def test_bundle_with_an_invalid_token_hash_is_refused(self):
        async with sites.run_site(groups=1, vms=4) as running:
            bundle = change_bundle(running, 3)
            bundle.teams[0].token_sha256 = ["Z" * 64]
            operator_client = OperatorClient(running)
            answered, body = await operator_client.roll(operator_client.draft(bundle))
            assert (answered, body["error"]["kind"]) == (400, "bundle_invalid")
            assert "token_sha256" in body["error"]["message"]

    async def test_one_of_two_concurrent_rolls_succeeds_and_history_shows_it(self):
        async with sites.run_site(groups=1, vms=4) as running:
            operator_clients = [OperatorClient(running, "ipoh"), OperatorClient(running, "taiping")]
            calls = [
                operator_client.draft(change_bundle(running, 2 + n))
                for n, operator_client in enumerate(operator_clients)
            ]
            rolled = await asyncio.gather(
                *(
                    operator_client.roll(call)
                    for operator_client, call in zip(operator_clients, calls, strict=True)
                )
            )
            assert sorted(status for status, _ in rolled) == [200, 409]
            won = next(body for status, body in rolled if status == 200)
            lost = next(body for status, body in rolled if status == 409)
            assert f"rolled by {won['rolled_by']}" in lost["error"]["message"]
            await sites.wait_until(lambda: running.daemon.bundles.version == 2)
            url = running.operators_url + "/v1/bundle/history"
            async with running.session.get(url) as response:
                entries = (await response.json())["entries"]
            assert [entry["version"] for entry in entries] == [2, 1]
            assert entries[0]["rolled_by"] == won["rolled_by"]

    async def test_roll_succeeds_when_answers_of_the_store_are_lost(self):
        async with sites.run_site(groups=1, vms=4) as running:
            operator_client = OperatorClient(running)
            call = operator_client.draft(change_bundle(running, 3))
            running.stand_ins.key_value.faults.lost_responses = 2
            assert (await operator_client.roll(call))[0] == 200
            await sites.wait_until(lambda: running.daemon.bundles.version == 2)
            assert (await operator_client.roll(call))[0] == 200
