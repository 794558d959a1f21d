"""The bundle in force on one daemon; its version never decreases.

Two bundles can have the same version only if the key-value service was restored to an older state
and another bundle was rolled on it. Each daemon then keeps the bundle it accepted first and
refuses the other; the next version that is rolled comes in force everywhere.
"""

import dataclasses
from collections.abc import Callable, Mapping, Sequence

import result

from tanagerfork import errors
from tanagerfork.bundles import manifest as manifests
from tanagerfork.bundles import signature
from tanagerfork.generated import bundle as records
from tanagerfork.generated import settings as settings_records


@dataclasses.dataclass(slots=True, frozen=True)
class BundleInForce:
    """A bundle with its head and manifest."""

    head: records.Head
    manifest: records.Manifest
    bundle: records.Bundle


Listener = Callable[[BundleInForce], None]


class BundleRegister:
    """Holds the newest bundle that was signed with a trusted key.

    :param operator_keys: trusted public keys of the operators.
    """

    __slots__ = ("current", "contents", "_operator_keys", "_listeners")

    def __init__(self, operator_keys: Sequence[settings_records.OperatorKey]) -> None:
        self.current: BundleInForce | None = None
        self.contents: dict[str, bytes] = {}
        self._operator_keys = operator_keys
        self._listeners: list[Listener] = []

    @property
    def version(self) -> int:
        """Version in force, 0 if there is none."""
        return self.current.head.version if self.current else 0

    def subscribe(self, listener: Listener) -> None:
        """Add a listener for accepted bundles.

        :param listener: called with each bundle after it came in force.
        """
        self._listeners.append(listener)

    def verify(
        self, signed: records.SignedManifest
    ) -> result.Result[records.Manifest, errors.BundleError]:
        """Verify a sign-off against the operators' keys.

        :param signed: manifest with its signature.
        :return: the manifest, or why the sign-off is not valid.
        """
        return signature.verify_manifest(signed, self._operator_keys)

    def check_head(self, head: records.Head) -> result.Result[records.Manifest, errors.BundleError]:
        """Check whether a head may come in force.

        :param head: head from the key-value service or a peer.
        :return: its manifest, or why the head is refused.
        """
        in_force = self.current.head if self.current else None
        if (
            in_force
            and head.version == self.version
            and in_force.manifest_sha256 != (head.manifest_sha256)
        ):
            message = (
                f"version {head.version} is in force with another manifest, rolled by "
                f"{in_force.rolled_by or 'unknown'}; rebase and roll version {head.version + 1}"
            )
            return result.Err(errors.VersionForked(message))
        if head.version <= self.version:
            message = f"version {head.version} is not newer than {self.version}; nothing to do"
            return result.Err(errors.VersionNotNewer(message))
        verified = self.verify(head.signed)
        if isinstance(verified, result.Err):
            return verified
        encoded = head.signed.manifest_json.encode()
        manifest = verified.ok_value
        if (
            manifest.version != head.version
            or manifests.hash_content(encoded) != head.manifest_sha256
        ):
            return result.Err(
                errors.BundleInvalid("the head does not match its manifest; roll again")
            )
        return verified

    def find_missing(self, manifest: records.Manifest) -> list[str]:
        """Return the hashes of the parts that this daemon lacks.

        :param manifest: checked manifest.
        :return: hashes, in the manifest's order.
        """
        return [part.sha256 for part in manifest.parts if part.sha256 not in self.contents]

    def accept(
        self, head: records.Head, contents: Mapping[str, bytes]
    ) -> result.Result[BundleInForce, errors.BundleError]:
        """Put a bundle in force.

        :param head: head from the key-value service or a peer.
        :param contents: contents of the parts that this daemon lacked, by hash.
        :return: the bundle now in force, or why it was refused.
        """
        checked = self.check_head(head)
        if isinstance(checked, result.Err):
            return checked
        manifest = checked.ok_value
        merged = {**self.contents, **contents}
        fits = manifests.check_limits(head.signed, manifest, merged)
        if isinstance(fits, result.Err):
            return fits
        assembled = manifests.assemble_bundle(manifest, merged)
        if isinstance(assembled, result.Err):
            return assembled
        self.contents = {part.sha256: merged[part.sha256] for part in manifest.parts}
        self.current = BundleInForce(head, manifest, assembled.ok_value)
        for listener in self._listeners:
            listener(self.current)
        return result.Ok(self.current)
