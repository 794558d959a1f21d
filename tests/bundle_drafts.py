"""Helpers for tests: bundles, keys and rolls."""

import hashlib

import result
from cryptography.hazmat.primitives.asymmetric import ed25519

from tanagerfork import errors
from tanagerfork.bundles import head as heads
from tanagerfork.bundles import manifest as manifests
from tanagerfork.bundles import register, signature
from tanagerfork.generated import bundle as records
from tanagerfork.generated import settings as settings_records
from tanagerfork.storage import key_value

KEY = ed25519.Ed25519PrivateKey.from_private_bytes(b"k" * 32)
OTHER_KEY = ed25519.Ed25519PrivateKey.from_private_bytes(b"o" * 32)
OPERATOR = "ipoh"


def make_bundle(teams: int = 2, name: str = "test") -> records.Bundle:
    """Return a bundle with one model, one service and a number of teams."""
    upstream = records.ServiceUpstream(name="l1", failure_domain="ipoh-a", url="http://10.0.0.1")
    return records.Bundle(
        name=name,
        models=[
            records.Model(
                name="rota-writer",
                version="1",
                members_per_group=4,
                placement=[records.GroupCount(failure_domain="ipoh-a", groups=2)],
            )
        ],
        services=[
            records.Service(
                name="batch-ledger",
                upstreams=[upstream],
                repeatable=[records.Repeatable(method="GET", path_prefix="pressings")],
            )
        ],
        teams=[make_team(number) for number in range(teams)],
    )


def make_team(number: int, weight: int = 1) -> records.Team:
    """Return the team with a number."""
    token = hashlib.sha256(str(number).encode()).hexdigest()
    return records.Team(
        name=f"team-{number:04}", token_sha256=[token], models=["rota-writer"], weight=weight
    )


def make_register() -> register.BundleRegister:
    """Return a register that trusts `KEY`."""
    public_key = signature.encode_public_key(KEY)
    return register.BundleRegister(
        [settings_records.OperatorKey(operator=OPERATOR, public_key=public_key)]
    )


def sign(draft: manifests.Draft) -> records.SignedManifest:
    """Sign a draft with `KEY`."""
    return signature.sign_manifest(draft.manifest, OPERATOR, KEY)


def draft_next(bundle: records.Bundle, parent: records.Head | None) -> manifests.Draft:
    """Draft a bundle whose parent is a head; None for the first version."""
    if parent is None:
        return manifests.draft_manifest(bundle, 1, "")
    return manifests.draft_manifest(bundle, parent.version + 1, parent.manifest_sha256)


async def roll(
    store: key_value.KeyValue,
    bundle: records.Bundle,
    parent: records.Head | None,
    operator: str = OPERATOR,
) -> result.Result[records.Head, errors.TanagerforkError]:
    """Draft, publish, sign and roll a bundle."""
    draft = draft_next(bundle, parent)
    published = await heads.publish_parts(store, draft)
    if isinstance(published, result.Err):
        return published
    return await heads.roll_head(store, sign(draft), operator, 1)


async def accept(
    bundles: register.BundleRegister, store: key_value.KeyValue, head: records.Head
) -> result.Result[register.BundleInForce, errors.BundleError]:
    """Have a register accept a head with the parts in a key-value service."""
    contents = {
        key.removeprefix(heads.PART_PREFIX): entry.value
        for key, entry in store.entries.items()
        if key.startswith(heads.PART_PREFIX)
    }
    return bundles.accept(head, contents)
