"""Base classes of the generated records."""

import msgspec


class Record(msgspec.Struct, kw_only=True):
    """A record that is exchanged; ignores unknown fields, so that versions can be mixed."""


class StrictRecord(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A record that people write; rejects unknown fields."""


class CompactRecord(msgspec.Struct, kw_only=True, array_like=True):
    """A record that is encoded as an array; a later version may only append fields."""
