"""Settings of the daemon: JSON with comments, checked against the schema on load."""

import ipaddress
import pathlib
import re
from collections.abc import Sequence
from typing import Any, TypeVar

import msgspec
import pyjson5

from tanagerfork import errors
from tanagerfork.generated import settings as records

ENCODING = "utf-8"
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
FIELD_IN_MESSAGE = re.compile(r" - at `\$\.?(?P<field>[^`]*)`$")

RecordT = TypeVar("RecordT")


def load_settings(path: pathlib.Path, overrides: Sequence[str] = ()) -> records.Settings:
    """Read and check a settings file.

    :param path: JSON with comments.
    :param overrides: FIELD=VALUE texts that override the file, such as callers.port=8600.
    :return: the settings with the schema's defaults filled in.
    :raises SettingsError: one line that names file, field, what was wrong and the remedy.
    """
    value = decode_json(read_text(path), str(path))
    for override in overrides:
        _apply_override(value, override)
    settings = convert_record(value, str(path), records.Settings)
    check_settings(settings, path)
    return settings


def load_record(path: pathlib.Path, record_type: type[RecordT]) -> RecordT:
    """Read a record from a file of JSON with comments.

    :param path: file.
    :param record_type: generated type of the record.
    :return: the record.
    :raises SettingsError: one line that names file, field, what was wrong and the remedy.
    """
    return convert_record(decode_json(read_text(path), str(path)), str(path), record_type)


def read_peer_keys(peers: records.PeerSettings) -> list[str]:
    """Return the keys of the peer protocol, the one for sending first.

    :param peers: settings of the peer protocol.
    :raises SettingsError: the key file cannot be read or is empty.
    """
    key = peers.shared_key
    if peers.shared_key_path:
        key = read_text(pathlib.Path(peers.shared_key_path)).strip()
    if not key:
        message = f"peers.shared_key_path: {peers.shared_key_path!r} is empty; write a key into it"
        raise errors.SettingsError(message)
    return [key, *peers.former_keys]


def read_text(path: pathlib.Path) -> str:
    """Read a text file.

    :param path: file.
    :return: its text.
    :raises SettingsError: the file cannot be read or is not UTF-8.
    """
    try:
        return path.read_text(ENCODING)
    except OSError as error:
        message = f"{path}: cannot be read ({error.strerror}); name a readable file"
        raise errors.SettingsError(message) from error
    except UnicodeDecodeError as error:
        raise errors.SettingsError(f"{path}: is not UTF-8; save it as UTF-8") from error


def decode_json(text: str, name: str) -> Any:
    """Decode JSON with comments.

    :param text: JSON with comments.
    :param name: name of the source in messages.
    :return: the value, not checked yet.
    :raises SettingsError: one line that names the source, what was wrong and the remedy.
    """
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        message = f"{name}: is not JSON with comments ({error.message}); correct the syntax"
        raise errors.SettingsError(message) from error


def convert_record(value: Any, name: str, record_type: type[RecordT]) -> RecordT:
    """Check a decoded value against the schema.

    :param value: value of `decode_json`.
    :param name: name of the source in messages.
    :param record_type: generated type of the record.
    :return: the record.
    :raises SettingsError: one line that names source, field, what was wrong and the remedy.
    """
    try:
        return msgspec.convert(value, type=record_type)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(_describe_problem(name, str(error))) from error


def check_settings(settings: records.Settings, path: pathlib.Path) -> None:
    """Check constraints that the schema cannot express.

    :param settings: settings as decoded.
    :param path: file, for messages.
    :raises SettingsError: one line that names file, field, what was wrong and the remedy.
    """
    for field, host in (
        ("callers.host", settings.callers.host),
        ("operators.host", settings.operators.host),
        ("peers.host", settings.peers.host),
    ):
        _check_address(path, field, host)
    for index, seed in enumerate(settings.peers.seeds):
        host, _, port = seed.rpartition(":")
        _check_address(path, f"peers.seeds[{index}]", host)
        if not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
            _reject(path, f"peers.seeds[{index}]", f"{seed!r} has no valid port", "write IP:port")
    _check_peers(path, settings.peers)
    _check_operators_listener(path, settings.operators)
    for section, certificate_path, private_key_path in (
        ("callers", settings.callers.certificate_path, settings.callers.private_key_path),
        ("operators", settings.operators.certificate_path, settings.operators.private_key_path),
    ):
        _check_certificate(path, section, certificate_path, private_key_path)
    if settings.limits.default_deadline_ms > settings.limits.max_deadline_ms:
        _reject(
            path,
            "limits.default_deadline_ms",
            "exceeds limits.max_deadline_ms",
            "lower it or raise limits.max_deadline_ms",
        )
    if settings.groups.order_timeout_ms * 2 >= settings.groups.lease_ttl_ms:
        _reject(
            path,
            "groups.order_timeout_ms",
            "is too close to groups.lease_ttl_ms",
            "keep it below half of groups.lease_ttl_ms",
        )


def _check_peers(path: pathlib.Path, peers: records.PeerSettings) -> None:
    if not peers.shared_key and not peers.shared_key_path:
        _reject(path, "peers.shared_key_path", "is empty", "name a file with the daemons' key")
    if peers.suspicion_ms >= peers.heard_ttl_ms:
        _reject(path, "peers.suspicion_ms", "is not below peers.heard_ttl_ms", "lower it")


def _apply_override(value: Any, override: str) -> None:
    field, equals, text = override.partition("=")
    *sections, last = field.split(".")
    if not equals or not last or not isinstance(value, dict):
        raise errors.SettingsError(f"--set {override}: is not FIELD=VALUE; see --help")
    for section in sections:
        value = value.setdefault(section, {})
        if not isinstance(value, dict):
            raise errors.SettingsError(f"--set {override}: {section} is not a section; see --help")
    try:
        value[last] = pyjson5.decode(text)
    except pyjson5.Json5Exception:
        value[last] = text


def _check_operators_listener(path: pathlib.Path, operators: records.OperatorSettings) -> None:
    if not ipaddress.ip_address(operators.host).is_loopback and not operators.token_sha256:
        _reject(
            path,
            "operators.token_sha256",
            f"is empty while operators.host {operators.host} can be reached from other VMs",
            "give the hash of a token (`printf %s TOKEN | sha256sum`) or bind 127.0.0.1",
        )
    if operators.token_sha256 and not SHA256_PATTERN.fullmatch(operators.token_sha256):
        _reject(
            path,
            "operators.token_sha256",
            "is not a SHA-256 hash",
            "write 64 digits of 0-9a-f (`printf %s TOKEN | sha256sum`)",
        )


def _check_certificate(
    path: pathlib.Path, section: str, certificate_path: str, private_key_path: str
) -> None:
    if bool(certificate_path) != bool(private_key_path):
        field = f"{section}.{'private_key_path' if certificate_path else 'certificate_path'}"
        _reject(path, field, "is empty while its counterpart is set", "set both or neither")
    for field, file in (
        ("certificate_path", certificate_path),
        ("private_key_path", private_key_path),
    ):
        if file and not pathlib.Path(file).is_file():
            _reject(path, f"{section}.{field}", f"{file!r} is not a file", "name a PEM file")


def _check_address(path: pathlib.Path, field: str, host: str) -> None:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        _reject(path, field, f"{host!r} is not an IP address", "write an IP address, not a name")


def _reject(path: pathlib.Path, field: str, problem: str, remedy: str) -> None:
    raise errors.SettingsError(f"{path}: {field}: {problem}; {remedy}")


def _describe_problem(name: str, text: str) -> str:
    match = FIELD_IN_MESSAGE.search(text)
    field = match["field"] if match else ""
    problem = FIELD_IN_MESSAGE.sub("", text)
    problem = problem[:1].lower() + problem[1:]
    location = f"{name}: {field}: " if field else f"{name}: "
    return f"{location}{problem}; see `tanagerfork settings describe`"
