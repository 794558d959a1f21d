"""Files that an operator works on: bundle drafts, the bundles they are based on, signed bundles."""

import pathlib

import msgspec
import result
from cryptography.hazmat.primitives.asymmetric import ed25519

from tanagerfork import decoding, errors
from tanagerfork.bundles import document, manifest, signature
from tanagerfork.generated import bundle, operators

BASE_SUFFIX = ".base"
BACKUP_SUFFIX = ".before-rebase"
SIGNED_SUFFIX = ".signed.json"
TEMPLATE = """// What runs, on how many groups and for which teams; see docs/OPERATING.md.
{
  name: "first bundle",
  models: [
    // {
    //   name: "rota-writer", version: "1", members_per_group: 4,
    //   placement: [{ failure_domain: "ipoh-a", groups: 2 }],
    // },
  ],
  services: [],
  teams: [
    // { name: "shift-leads", token_sha256: ["..."], models: ["rota-writer"] },
  ],
}
"""


def write_draft(
    path: pathlib.Path, in_force: operators.BundleSnapshot
) -> result.Result[None, errors.DraftInvalid]:
    """Write a new draft that is a copy of the bundle in force.

    :param path: file, which must not exist.
    :param in_force: bundle in force; a template is written if its version is 0.
    :return: nothing, or why the draft could not be written.
    """
    if path.exists():
        message = f"{path}: exists already; name another file, or move the old draft away first"
        return result.Err(errors.DraftInvalid(message))
    text = format_bundle(in_force.bundle_json) if in_force.version else TEMPLATE
    written = write_text(path, text)
    return written if isinstance(written, result.Err) else write_base(path, in_force)


def write_base(
    path: pathlib.Path, in_force: operators.BundleSnapshot
) -> result.Result[None, errors.DraftInvalid]:
    """Record which bundle a draft is based on, in a file beside the draft.

    :param path: draft.
    :param in_force: bundle that the draft is based on.
    :return: nothing, or why the record could not be written.
    """
    return write_text(base_path(path), msgspec.json.encode(in_force).decode())


def read_base(
    path: pathlib.Path,
) -> result.Result[operators.BundleSnapshot | None, errors.DraftInvalid]:
    """Read which bundle a draft is based on.

    :param path: draft.
    :return: the bundle, None where none is recorded, or why it cannot be read.
    """
    base_file = base_path(path)
    if not base_file.exists():
        return result.Ok(None)
    try:
        return result.Ok(decoding.decode_json(base_file.read_bytes(), operators.BundleSnapshot))
    except (OSError, msgspec.MsgspecError) as error:
        message = f"{base_file}: cannot be read ({error}); draft anew with `tanagerfork bundle new`"
        return result.Err(errors.DraftInvalid(message))


def read_signed(path: pathlib.Path) -> result.Result[operators.RollCall, errors.DraftInvalid]:
    """Read a signed bundle.

    :param path: file that `tanagerfork bundle sign-off` wrote.
    :return: the signed bundle, or why it cannot be read.
    """
    try:
        return result.Ok(decoding.decode_json(path.read_bytes(), operators.RollCall))
    except OSError as error:
        message = f"{path}: cannot be read ({error.strerror}); name a signed bundle"
    except msgspec.MsgspecError as error:
        message = f"{path}: is not a signed bundle ({error}); run `tanagerfork bundle sign-off`"
    return result.Err(errors.DraftInvalid(message))


def check_base(
    path: pathlib.Path, in_force: operators.BundleSnapshot, onto_version: int
) -> result.Result[None, errors.StaleParent | errors.DraftInvalid]:
    """Check that a draft is based on the bundle in force, so that it reverts nobody else's change.

    :param path: draft.
    :param in_force: bundle in force.
    :param onto_version: version that the operator allows the draft to replace; 0 for none.
    :return: nothing, or what to do before signing off.
    """
    if not in_force.version or onto_version == in_force.version:
        return result.Ok(None)
    base = read_base(path)
    if isinstance(base, result.Err):
        return base
    if base.ok_value is None:
        message = (
            f"{path}: the bundle it is based on is not recorded; "
            f"look at `tanagerfork bundle diff {path}`, "
            f"then sign off with --onto {in_force.version}"
        )
        return result.Err(errors.DraftInvalid(message))
    if base.ok_value.manifest_sha256 != in_force.manifest_sha256:
        message = (
            f"{path}: is based on version {base.ok_value.version}, but version "
            f"{in_force.version}, rolled by {in_force.rolled_by}, is in force; "
            f"run `tanagerfork bundle rebase {path}`, check the difference and sign off again"
        )
        return result.Err(errors.StaleParent(message))
    return result.Ok(None)


def sign_draft(
    draft: bundle.Bundle,
    in_force: operators.BundleSnapshot,
    operator: str,
    key: ed25519.Ed25519PrivateKey,
) -> operators.RollCall:
    """Sign a draft off as the child of the bundle in force.

    :param draft: checked bundle.
    :param in_force: bundle in force.
    :param operator: name under which the daemons hold the public key.
    :param key: signing key.
    :return: signed bundle for the daemons' roll call.
    """
    drafted = manifest.draft_manifest(draft, in_force.version + 1, in_force.manifest_sha256)
    signed = signature.sign_manifest(drafted.manifest, operator, key)
    return operators.RollCall(
        manifest_json=signed.manifest_json,
        operator=signed.operator,
        signature=signed.signature,
        parts=[content.decode() for content in drafted.contents.values()],
    )


def decode_bundle(text: str) -> bundle.Bundle:
    """Decode a bundle that a daemon sent; an empty bundle if none is in force.

    :param text: bundle as JSON; empty if none is in force.
    """
    if not text:
        return bundle.Bundle(name="none", models=[], services=[], teams=[])
    return decoding.decode_json(text, bundle.Bundle)


def format_bundle(text: str) -> str:
    """Format a bundle with indentation.

    :param text: bundle as JSON.
    """
    return msgspec.json.format(text, indent=2) + "\n"


def load_draft(path: pathlib.Path) -> bundle.Bundle:
    """Read and check a draft.

    :param path: draft.
    :raises SettingsError: the file cannot be read or does not follow the schema.
    :raises BundleInvalid: the bundle contradicts itself.
    """
    return document.load_bundle(path)


def base_path(path: pathlib.Path) -> pathlib.Path:
    """Return the path of the file that records which bundle a draft is based on.

    :param path: draft.
    """
    return path.with_name(path.name + BASE_SUFFIX)


def write_text(path: pathlib.Path, text: str) -> result.Result[None, errors.DraftInvalid]:
    """Write a text file.

    :param path: file.
    :param text: its content.
    :return: nothing, or why it could not be written.
    """
    try:
        path.write_text(text, "utf-8")
    except OSError as error:
        message = f"{path}: cannot be written ({error.strerror}); name a folder you may write to"
        return result.Err(errors.DraftInvalid(message))
    return result.Ok(None)
