"""Samples of everything that a daemon writes and another one may read.

Runs with the sources of any landing on the path, so that it imports nothing else of `tools`:
`python -m tools.samples write` prints the samples of these sources, and `read` tells which samples
of its input, written by another landing, mean something else to them.
"""

import importlib
import json
import sys
from collections.abc import Callable
from types import ModuleType
from typing import Any

import msgspec

from tanagerfork.generated import assignments, layout, notices, relay
from tanagerfork.platform import runners

Fields = dict[str, Any]

PARTS = {"part": "900d", "crash": "i-1@5", "request": "f1", "age_ms": 40}
NOTICES: dict[str, Fields] = {
    "loads": {
        "has_loads": True,
        "loads": [("OpenLoad", {"upstream": "i-1", "requests": 2, "unread_tokens": 300})],
    },
    "limited loads": {
        "has_loads": True,
        "loads": [
            (
                "OpenLoad",
                {
                    "upstream": "i-1",
                    "requests": 2,
                    "unread_tokens": 30,
                    "recent_sends": 4,
                    "heard_age_ms": 40,
                },
            )
        ],
    },
    "sum of a cohort": {"has_loads": True, "covers": "cohort", "cohort": "d0"},
    "sum of all": {"has_loads": True, "covers": "all"},
    "silent": {"silent": ["i-1", "i-2"]},
    "cut off": {"has_loads": True, "cut_off": ["writer"]},
    "demands": {
        "has_loads": True,
        "demands": [
            (
                "Demand",
                {
                    "service": "writer",
                    "model": "small",
                    "team": "desk",
                    "rank": 10,
                    "rate": 125,
                    "is_rest": True,
                },
            )
        ],
    },
    "answers": {
        "has_loads": True,
        "answers": [
            (
                "Answers",
                {
                    "service": "writer",
                    "model": "small",
                    "upstreams": [
                        (
                            "UpstreamAnswers",
                            {
                                "upstream": "i-1",
                                "successes": 1800,
                                "failures": 50,
                                "times": [
                                    (
                                        "AnswerTimes",
                                        {
                                            "concurrency": 4,
                                            "weight": 1800,
                                            "sum": 9400,
                                            "square_sum": 49700,
                                        },
                                    )
                                ],
                            },
                        )
                    ],
                },
            )
        ],
    },
    "heard": {
        "has_loads": True,
        "heard": [("HeardDaemon", {"daemon": "d2", "age_ms": 150})],
    },
    "closed": {"closed": [("ClosedGroup", {"head": "i-1", "epoch": 12})]},
    "many closed": {
        "closed": [("ClosedGroup", {"head": f"i-{n}", "epoch": n}) for n in range(1, 6)]
    },
    "suspects": {
        "suspects": [
            (
                "Suspect",
                {
                    "fingerprint": "f1",
                    "crashes": 2,
                    "is_quarantined": True,
                    "expires_in_ms": 900,
                    "age_ms": 40,
                    "runs": [("LostRun", {"crash": "i-1/5", "sent_age_ms": 90, "lost_age_ms": 40})],
                    "answered_age_ms": 70,
                },
            )
        ]
    },
    "crashed parts": {"crashed_parts": [("CrashedPart", PARTS)]},
    "answered parts": {"answered_parts": [("AnsweredPart", {"part": "900d", "age_ms": 40})]},
    "quarantined parts": {
        "quarantined_parts": [
            (
                "QuarantinedPart",
                {"part": "bad", "crashes": ["i-1@5"], "age_ms": 40, "expires_in_ms": 900},
            )
        ]
    },
    "quarantines": {
        "quarantines": [
            (
                "Quarantine",
                {"parts": ["a", "b"], "crashes": ["i-1/5"], "age_ms": 40, "expires_in_ms": 900},
            )
        ]
    },
    "wanted rules": {"wanted_rules": 8},
    "rules": {"rules": "eJwDAAAAAAE="},
    "leaving": {"leaving": [("LeavingUpstream", {"upstream": "i-1", "born_at_ms": 1_700_000})]},
    "changes": {
        "changes": (
            "ChangeBatch",
            {
                "after": 7,
                "revision": 9,
                "written": [("WrittenKey", {"key": "k", "value": "dg==", "revision": 8})],
                "removed": ["gone"],
            },
        )
    },
    "patches": {
        "changes": (
            "ChangeBatch",
            {
                "after": 9,
                "revision": 9,
                "written": [],
                "removed": [],
                "patches": [
                    (
                        "ValuePatch",
                        {
                            "key": "k",
                            "revision": 9,
                            "base": "0a",
                            "result": "0b",
                            "size_bytes": 9000,
                            "steps": [("PatchStep", {"start": 0, "count": 7, "added": "dg=="})],
                        },
                    )
                ],
                "patches_after": 7,
            },
        )
    },
}
GROUP: Fields = {
    "group": "a-3",
    "epoch": 3,
    "service": "writer",
    "model": "small",
    "fabric_domain": "a-f0",
    "members": ["i-1", "i-2"],
    "addresses": ["127.0.0.1:1", "127.0.0.1:2"],
    "born_at_ms": [5, 6],
    "closing": True,
    "reason": "member lost",
}
ASSIGNMENTS: Fields = {
    "failure_domain": "a",
    "next_epoch": 4,
    "groups": [("Assignment", GROUP)],
    "has_served": True,
    "fencing": 2,
    "token": "t",
    "era": 1,
}
LEASE: Fields = {
    "holder": "d0",
    "fencing": 2,
    "ttl_ms": 3000,
    "renewals": 4,
    "token": "t",
    "era": 1,
}
ENTRY: Fields = {
    "failure_domain": "a",
    "address": "127.0.0.1:7",
    "forwarding": "127.0.0.1:8",
    "build": "0.8.0",
    "notice_format": 1,
    "link_mbps": 100.0,
    "keeps_regions": True,
    "is_leaving": True,
}
QUARANTINE: Fields = {
    "crashes": ["i-1@5"],
    "parts": ["a", "b"],
    "request": "f1",
    "expires_unix_ms": 1_800_000_000_000,
}
ORDER: Fields = {
    "op": "join",
    "group": "a-3",
    "epoch": 3,
    "model": "small",
    "members": ["i-1", "i-2"],
    "fencing_token": 2,
    "expected": 0,
}


def find_type(name: str) -> Any:
    """Return the type of a record kept in the store, or None if these sources have none.

    :param name: name of the type.
    """
    if name == "DaemonRecord":
        return getattr(
            _import("tanagerfork.relay.daemon_directory", "tanagerfork.relay.followers"), name
        )
    if name == "QuarantineRecord":
        return getattr(_import("tanagerfork.relay.quarantine"), name, None)
    for module in (notices, assignments, layout):
        if hasattr(module, name):
            return getattr(module, name)
    return runners._Order if name == "Order" else None


RECORDS = {
    "DaemonRecord": ENTRY,
    "LeaseRecord": LEASE,
    "Assignments": ASSIGNMENTS,
    "QuarantineRecord": QUARANTINE,
    "Order": ORDER,
}


def build(name: str, fields: Fields, known: dict[str, list[str]] | None = None) -> Any:
    """Return a record, without the fields that its type has not, or that the writer had not.

    :param name: name of the type.
    :param fields: its fields; a pair of name and fields stands for a record.
    :param known: fields of the writer by type; None for the fields of these sources.
    """
    own = find_type(name)
    names = set(own.__struct_fields__)
    if known is not None:
        names &= set(known.get(name, []))
    return own(**{key: _build_value(value, known) for key, value in fields.items() if key in names})


def _build_value(value: Any, known: dict[str, list[str]] | None) -> Any:
    if isinstance(value, list):
        return [_build_value(item, known) for item in value]
    if isinstance(value, tuple):
        return build(*value, known) if find_type(value[0]) else None
    return value


def list_notices(known: dict[str, list[str]] | None = None) -> dict[str, notices.Notice]:
    """Return the notices whose fields these sources, and the writer, have.

    :param known: fields of the writer by type; None for the fields of these sources.
    """
    names = set(notices.Notice.__struct_fields__)
    if known is not None:
        names &= set(known["Notice"])
    basis = {"daemon": "d9", "rules_version": 7, "loads": [], "silent": []}
    return {
        name: build("Notice", {**basis, **fields}, known)
        for name, fields in NOTICES.items()
        if names >= fields.keys()
    }


def list_fields() -> dict[str, list[str]]:
    """Return the fields of all types of these sources."""
    types = {
        "Notice": notices.Notice,
        **{name: find_type(name) for name in [*RECORDS, "Assignment"]},
        **{value[0]: find_type(value[0]) for value in _list_pairs(NOTICES)},
    }
    return {name: list(own.__struct_fields__) for name, own in types.items() if own}


def _list_pairs(value: Any) -> list[tuple[str, Fields]]:
    if isinstance(value, tuple):
        return [value, *_list_pairs(value[1])]
    items = value.values() if isinstance(value, dict) else value if isinstance(value, list) else ()
    return [pair for item in items for pair in _list_pairs(item)]


def _import(*names: str) -> ModuleType | None:
    for name in names:
        try:
            module = importlib.import_module(name)
        except ModuleNotFoundError:
            continue
        if name != names[-1] or len(names) == 1 or hasattr(module, "DaemonRecord"):
            return module
    return None


def _reads_inserted() -> bool:
    own = find_type("DaemonRecord").__struct_fields__
    return "forwarding" in own and "notice_format" not in own


def _find_decoder() -> Callable[[bytes], notices.Notice]:
    codec = _import("tanagerfork.relay.notice_codec")
    if codec is None:
        return msgspec.msgpack.Decoder(notices.Notice).decode
    return lambda frame: codec.decode(frame).notice


def write() -> dict[str, Any]:
    """Return the samples as these sources write them: notices in hexadecimal, records as text.

    `inserted` are the notices for the landing that inserted a field, which others do not write.
    """
    codec = _import("tanagerfork.relay.notice_codec")
    return {
        "inserted": {
            name: codec.encode(notice, codec.Form.INSERTED).hex()
            for name, notice in list_notices().items()
            if codec
        },
        "fields": list_fields(),
        "settings": sorted(relay.RelaySettings.__struct_fields__),
        "notices": {
            name: msgspec.msgpack.encode(notice).hex() for name, notice in list_notices().items()
        },
        "records": {
            name: msgspec.json.encode(build(name, fields)).decode()
            for name, fields in RECORDS.items()
            if find_type(name)
        },
    }


def read(samples: dict[str, Any]) -> list[str]:
    """Return which samples of another landing cannot be read, or mean something else.

    :param samples: samples as another landing wrote them.
    """
    problems = []
    expected = list_notices(samples["fields"])
    frames = (
        samples["inserted"] if samples["inserted"] and _reads_inserted() else samples["notices"]
    )
    for name, frame in frames.items():
        try:
            found = _find_decoder()(bytes.fromhex(frame))
        except ValueError as error:
            problems.append(f"notice {name}: {error}")
            continue
        if name in expected and found != expected[name]:
            problems.append(f"notice {name}: {found}")
    for name, text in samples["records"].items():
        own = find_type(name)
        if own is None:
            continue
        try:
            record = msgspec.json.decode(text, type=own)
        except msgspec.MsgspecError as error:
            problems.append(f"record {name}: {error}")
            continue
        if record != build(name, RECORDS[name], samples["fields"]):
            problems.append(f"record {name}: {record}")
    return problems


if __name__ == "__main__":
    is_write = sys.argv[1] == "write"
    print(json.dumps(write() if is_write else read(json.load(sys.stdin)), indent=1, sort_keys=True))
