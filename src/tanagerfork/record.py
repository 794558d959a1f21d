"""Bases of the generated records."""

import msgspec


class Record(msgspec.Struct, kw_only=True):
    """A record from the wire; unknown fields are ignored, so that two versions can talk."""


class StrictRecord(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A record that people write; an unknown field is an error."""


class CompactRecord(msgspec.Struct, kw_only=True, array_like=True):
    """A record whose encoding names no fields; a later version may only append some."""
