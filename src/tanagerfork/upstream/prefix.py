"""Hashes of prompt prefixes, as engines publish them in their cache events."""

from collections.abc import Iterable

import xxhash

from tanagerfork.generated import callers


def hash_prefixes(messages: Iterable[callers.ChatMessage]) -> list[str]:
    """Hash the prompt up to the end of each message.

    :param messages: messages of the prompt.
    :return: one hash per message, shortest prefix first.
    """
    hasher = xxhash.xxh3_64()
    hashes = []
    for message in messages:
        hasher.update(f"{message.role}\0{message.content}\0".encode())
        hashes.append(hasher.hexdigest())
    return hashes
