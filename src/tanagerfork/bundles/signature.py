"""Signing and verification of manifests with Ed25519."""

import base64
import binascii
from collections.abc import Iterable

import msgspec
import result
from cryptography import exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519

from tanagerfork import decoding, errors
from tanagerfork.generated import bundle as records
from tanagerfork.generated import settings as settings_records


def sign_manifest(
    manifest: records.Manifest, operator: str, key: ed25519.Ed25519PrivateKey
) -> records.SignedManifest:
    """Sign a manifest.

    :param manifest: manifest to sign.
    :param operator: name of the operator's key in the daemons' settings.
    :param key: private key of the operator.
    :return: the encoded manifest with its signature.
    """
    encoded = msgspec.json.encode(manifest)
    signature = base64.b64encode(key.sign(encoded)).decode()
    return records.SignedManifest(
        manifest_json=encoded.decode(), operator=operator, signature=signature
    )


def verify_manifest(
    signed: records.SignedManifest, operator_keys: Iterable[settings_records.OperatorKey]
) -> result.Result[records.Manifest, errors.BundleError]:
    """Verify the signature of a manifest and decode it.

    :param signed: manifest with its signature.
    :param operator_keys: trusted public keys of the operators.
    :return: the manifest, or why its sign-off is not valid.
    """
    if not signed.signature or not signed.operator:
        message = "the bundle is not signed off; run `tanagerfork bundle sign-off`"
        return result.Err(errors.SignatureInvalid(message))
    keys = [key for key in operator_keys if key.operator == signed.operator]
    if not keys:
        message = f"operator {signed.operator!r} is unknown; add the key to operator_keys"
        return result.Err(errors.SignatureInvalid(message))
    encoded = signed.manifest_json.encode(errors="surrogatepass")
    if not any(_is_signed_by(key.public_key, signed.signature, encoded) for key in keys):
        message = (
            f"the sign-off by {signed.operator!r} does not fit the manifest; "
            "sign the bundle off again"
        )
        return result.Err(errors.SignatureInvalid(message))
    try:
        return result.Ok(decoding.decode_json(encoded, records.Manifest))
    except msgspec.MsgspecError as error:
        return result.Err(
            errors.BundleInvalid(f"the manifest is invalid ({error}); draft it again")
        )


def encode_public_key(key: ed25519.Ed25519PrivateKey) -> str:
    """Return the public key in the form used in the settings.

    :param key: private key.
    :return: raw public key in base64.
    """
    return base64.b64encode(key.public_key().public_bytes_raw()).decode()


def _is_signed_by(public_key: str, signature: str, encoded: bytes) -> bool:
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(base64.b64decode(public_key))
        key.verify(base64.b64decode(signature), encoded)
    except (exceptions.InvalidSignature, ValueError, binascii.Error):
        return False
    return True
