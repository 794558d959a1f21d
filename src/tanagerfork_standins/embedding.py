"""Runs the stand-ins in the event loop of the daemon, for a first try without a platform."""

import pathlib
import time

import msgspec
import result
from cryptography.hazmat.primitives.asymmetric import ed25519

from tanagerfork.bundles import document, head, manifest, signature
from tanagerfork.generated import bundle as bundle_records
from tanagerfork.generated import settings as settings_records
from tanagerfork.storage import key_value
from tanagerfork_standins import site

SITE_FILE = "site.json5"
BUNDLE_FILE = "bundle.json5"
OPERATOR = "embedded"
EXAMPLE_TOKEN = "example-token"


class EmbeddedSite:
    """A site of stand-ins with its own operator key, which signs the example bundle.

    :param stand_ins: site of stand-ins.
    :param bundle: example bundle.
    :param key: private key of the operator.
    """

    __slots__ = ("stand_ins", "bundle", "_key")

    def __init__(
        self,
        stand_ins: site.Site,
        bundle: bundle_records.Bundle,
        key: ed25519.Ed25519PrivateKey,
    ) -> None:
        self.stand_ins = stand_ins
        self.bundle = bundle
        self._key = key

    async def roll_bundle(self, store: key_value.KeyValue) -> None:
        """Sign the example bundle and roll it as version 1.

        :param store: key-value service.
        """
        draft = manifest.draft_manifest(self.bundle, 1, "")
        signed = signature.sign_manifest(draft.manifest, OPERATOR, self._key)
        published = await head.publish_parts(store, draft)
        if isinstance(published, result.Err):
            raise published.err_value
        rolled = await head.roll_head(store, signed, OPERATOR, time.time_ns() // 1_000_000)
        if isinstance(rolled, result.Err):
            raise rolled.err_value

    async def stop(self) -> None:
        """Stop the stand-ins."""
        await self.stand_ins.stop()

    def describe_call(self, port: int) -> str:
        """Return example commands for a first call and for injecting a fault.

        :param port: port of the callers' listener.
        :return: two lines with curl commands.
        """
        model = self.bundle.models[0].name
        body = {"model": model, "stream": True, "messages": [{"role": "user", "content": "Hello"}]}
        return (
            f"try: curl -N http://127.0.0.1:{port}/v1/chat/completions "
            f"-H 'Authorization: Bearer {EXAMPLE_TOKEN}' "
            f"-d '{msgspec.json.encode(body).decode()}'\n"
            f"inject a fault: curl {self.stand_ins.control.url}/faults "
            '-d \'{"kind": "vm_dies", "vm": "..."}\''
        )


async def start_site(folder: pathlib.Path, settings: settings_records.Settings) -> EmbeddedSite:
    """Start the stand-ins of an example and point the settings at them.

    :param folder: folder of the example, with the site plan and the bundle.
    :param settings: settings of the daemon; modified in place.
    :return: the running site.
    """
    plan = site.read_plan(folder / SITE_FILE)
    site.clear_ports(plan)
    stand_ins = site.Site(plan)
    bundle = document.load_bundle(folder / BUNDLE_FILE)
    await stand_ins.start()
    settings.platform.key_value_url = stand_ins.key_value.listener.url
    settings.platform.vm_list_url = stand_ins.vm_list_url
    for service in bundle.services:
        for upstream in service.upstreams:
            upstream.url = stand_ins.services[upstream.name].listener.url
    key = ed25519.Ed25519PrivateKey.generate()
    public_key = signature.encode_public_key(key)
    operator = settings_records.OperatorKey(operator=OPERATOR, public_key=public_key)
    settings.operator_keys.append(operator)
    return EmbeddedSite(stand_ins, bundle, key)
