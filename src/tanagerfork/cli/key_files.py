"""Reads and writes files with signing keys and tokens, and checks their permissions."""

import os
import pathlib
import stat
from collections.abc import Callable

import result
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from tanagerfork import errors

PRIVATE_MODE = 0o600
GROUP_AND_OTHER_BITS = stat.S_IRWXG | stat.S_IRWXO

AskPassphrase = Callable[[], str]


def read_private_file(path: pathlib.Path) -> result.Result[bytes, errors.KeyFileInvalid]:
    """Read a file that must be accessible to its owner only.

    :param path: file with a key or token.
    :return: its content, or why it is refused.
    """
    try:
        mode = path.stat().st_mode
        content = path.read_bytes()
    except OSError as error:
        message = f"{path}: cannot be read ({error.strerror}); name a readable file"
        return result.Err(errors.KeyFileInvalid(message))
    if mode & GROUP_AND_OTHER_BITS:
        message = f"{path}: is accessible to users other than its owner; run `chmod 600 {path}`"
        return result.Err(errors.KeyFileInvalid(message))
    return result.Ok(content)


def write_private_key(
    path: pathlib.Path, key: ed25519.Ed25519PrivateKey, passphrase: str
) -> result.Result[None, errors.KeyFileInvalid]:
    """Write a signing key to a new file that only its owner may read.

    :param path: file, which must not exist.
    :param key: signing key.
    :param passphrase: passphrase that encrypts the file; empty for none.
    :return: nothing, or why the file could not be written.
    """
    encryption: serialization.KeySerializationEncryption = serialization.NoEncryption()
    if passphrase:
        encryption = serialization.BestAvailableEncryption(passphrase.encode())
    encoded = key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, encryption
    )
    try:
        descriptor = os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY, PRIVATE_MODE)
    except FileExistsError:
        message = f"{path}: exists already; name another file, or move the old key away first"
        return result.Err(errors.KeyFileInvalid(message))
    except OSError as error:
        message = f"{path}: cannot be written ({error.strerror}); name a folder you may write to"
        return result.Err(errors.KeyFileInvalid(message))
    with os.fdopen(descriptor, "wb") as file:
        file.write(encoded)
    return result.Ok(None)


def read_private_key(
    path: pathlib.Path, ask_passphrase: AskPassphrase
) -> result.Result[ed25519.Ed25519PrivateKey, errors.KeyFileInvalid]:
    """Read a signing key.

    :param path: file that `write_private_key` wrote.
    :param ask_passphrase: called only if the file is encrypted.
    :return: the key, or why it is refused.
    """
    content = read_private_file(path)
    if isinstance(content, result.Err):
        return content
    password = None
    if b"ENCRYPTED" in content.ok_value:
        password = ask_passphrase().encode()
    try:
        key = serialization.load_pem_private_key(content.ok_value, password)
    except (ValueError, TypeError):
        remedy = "give the right passphrase" if password is not None else "name a signing key"
        message = f"{path}: holds no readable private key; {remedy}"
        return result.Err(errors.KeyFileInvalid(message))
    if not isinstance(key, ed25519.Ed25519PrivateKey):
        message = f"{path}: is not an Ed25519 key; make one with `tanagerfork keys new`"
        return result.Err(errors.KeyFileInvalid(message))
    return result.Ok(key)
