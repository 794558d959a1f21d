"""Decodes the operator's configuration into the relay's rules."""

import dataclasses
import re
import types
import typing
from collections.abc import Iterator
from typing import Any

import msgspec
import result

from tanagerfork import decoding, errors
from tanagerfork.relay import config_check, regions, rules

CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"  # A key with the name of a failure domain evacuates it.
MS_PER_S = 1000
_POSITION = re.compile(r"\[\d+\]")
# Fields of the configuration by the names of the rules' fields, where they differ.
_FIELD_NAMES = {
    "teams": "tenants",
    "keys": "apiKeys",
    "targets": "split",
    "timeout_ms": "timeoutMs",
    "is_resumable": "resumable",
    "group_size": "size",
    "kv_tokens": "kvCapacity",
}


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    """`type` is the retry policy; a `public` route requires no API key.

    Without `regions_allowed`, requests run in all regions.
    """

    name: str
    host: str
    prefix: str
    type: str
    service: str = ""
    split: list[_Split] = []
    timeout_ms: float = 30_000
    goal_ms: float = 1000
    gap_goal_ms: float = 0
    attempts: decoding.Whole = 1
    priority: decoding.Whole = 0
    public: bool = False
    resumable: bool = False
    regions_allowed: list[str] | None = None


class _Model(msgspec.Struct, rename="camel"):
    """`warm_s` is the load time from host memory, `load_s` the one from the weight store."""

    name: str
    size: decoding.Whole = 1
    share: float = 0.0
    pace: float = 1.0
    load_s: float = 0.0
    warm_s: float = 0.0


class _UsualTokens(msgspec.Struct):
    prompt: float = 0.0
    answer: float = 0.0


class _Engine(msgspec.Struct):
    """The platform's format mixes snake case and camel case in these names.

    `stride` is the number of steps, and so of tokens, between two events of a stream.
    """

    slots: decoding.Whole = 1
    kv_capacity: decoding.Whole = msgspec.field(default=0, name="kvCapacity")
    models: list[_Model] = []
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 1.0
    usual: _UsualTokens = msgspec.field(default_factory=_UsualTokens)
    form_ms: float = msgspec.field(default=0.0, name="formMs")
    loads_per_s: float = msgspec.field(default=1.0, name="loadsPerS")
    loads_at_once: decoding.Whole = 1
    far_x: float = 1.0
    stride: decoding.Whole = 1
    report_lag_ms: float = rules.DEFAULT_REPORT_LAG_MS
    keeps: decoding.Whole = 1


class _Service(msgspec.Struct, rename="camel"):
    """`max_conns` limits the connections to one upstream, over all of its callers.

    `cold_per_s` limits the requests a second to an upstream in the `cold_start_s` after its start.
    """

    name: str
    max_conns: decoding.Whole = 0
    engine: _Engine | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: decoding.Whole = 16_384
    max_body_bytes: decoding.Whole = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, rename="camel"):
    """A tenant is the product's team."""

    name: str
    api_keys: list[str] = []
    priority: decoding.Whole | None = None
    regions_allowed: list[str] | None = None


class _Config(msgspec.Struct):
    version: decoding.Whole
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """Why a configuration cannot be read, and where; `path` is in the notation of the file."""

    path: str
    message: str
    remedy: str


def decode_rules(value: bytes) -> result.Result[rules.Rules, errors.PlatformError]:
    """Decode the operator's configuration.

    :param value: value of the configuration key.
    :return: the rules, or the error if the value is malformed.
    """
    try:
        config = decoding.decode_json(value, _Config)
        _raise_divisors(config)
        draft = _to_draft(config)
    except (msgspec.MsgspecError, ValueError) as error:
        message = f"the configuration is malformed ({error}); the version in force is kept"
        return result.Err(errors.AnswerLost(message))
    return result.Ok(draft.make_rules())


def _raise_divisors(config: _Config) -> None:
    """Raise what daemons divide by to 1; a check of the configuration sees the values as given."""
    for service in config.services:
        if service.engine is not None:
            service.engine.slots = max(1, service.engine.slots)
            service.engine.far_x = max(1.0, service.engine.far_x)


def decode_draft(value: bytes) -> result.Result[config_check.ConfigDraft, list[Problem]]:
    """Decode a configuration for a check, with the fields that daemons ignore.

    :param value: configuration as JSON.
    :return: the draft, or why it cannot be read.
    """
    try:
        config = decoding.decode_json(value, _Config)
        raw = decoding.decode_json(value, Any)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `$")
        problem = Problem(path.rstrip("`").lstrip(".") or "$", text, "correct the value")
        return result.Err([problem])
    except (msgspec.MsgspecError, ValueError) as error:
        return result.Err([Problem("$", f"is no JSON ({error})", "correct the text there")])
    kinds = [kind.value for kind in rules.Repetition]
    problems = [
        Problem(
            f"routes[{number}].type",
            f"{route.type!r} is no type of a route",
            f"use one of {', '.join(kinds)}",
        )
        for number, route in enumerate(config.routes)
        if route.type not in kinds
    ]
    if problems:
        return result.Err(problems)
    paths: dict[str, list[str]] = {}
    for path in _list_unknown_fields(raw, _Config, ""):
        paths.setdefault(_POSITION.sub("[]", path), []).append(path)
    unknown = tuple((found[0], len(found)) for found in paths.values())
    return result.Ok(dataclasses.replace(_to_draft(config), unknown_fields=unknown))


def render_place(place: config_check.Place) -> str:
    """Return the path of a field in the notation of the file.

    :param place: fields of the rules and positions in lists.
    """
    text = ""
    for part in place:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{_FIELD_NAMES.get(part, part)}"
    return text.removeprefix(".")


def _list_unknown_fields(value: Any, kind: Any, path: str) -> Iterator[str]:
    """Yield the path of each field that a type does not have."""
    if isinstance(value, list):
        for number, item in enumerate(value):
            yield from _list_unknown_fields(item, typing.get_args(kind)[0], f"{path}[{number}]")
        return
    if not isinstance(value, dict):
        return
    struct = next(one for one in (kind, *typing.get_args(kind)) if isinstance(one, type))
    known = {field.encode_name: field.type for field in msgspec.structs.fields(struct)}
    for name, item in value.items():
        place = f"{path}.{name}".removeprefix(".")
        if name not in known:
            yield place
        else:
            yield from _list_unknown_fields(item, _strip_optional(known[name]), place)


def _strip_optional(kind: Any) -> Any:
    """Return a type without None."""
    if isinstance(kind, types.UnionType):
        return next(one for one in typing.get_args(kind) if one is not type(None))
    return kind


def _to_draft(config: _Config) -> config_check.ConfigDraft:
    teams = None
    if config.tenants is not None:
        teams = tuple(
            config_check.DraftTeam(
                tenant.name,
                tuple(tenant.api_keys),
                tenant.priority,
                _to_regions(tenant.regions_allowed),
            )
            for tenant in config.tenants
        )
    return config_check.ConfigDraft(
        version=config.version,
        routes=tuple(_to_route(route) for route in config.routes),
        services=tuple(_to_service(service) for service in config.services),
        teams=teams,
        limits=rules.CallerLimits(
            config.limits.max_header_bytes,
            config.limits.max_body_bytes,
            config.limits.header_timeout_ms,
            config.limits.idle_timeout_ms,
        ),
    )


def _to_route(route: _Route) -> rules.Route:
    targets = tuple(rules.Target(split.service, split.weight) for split in route.split)
    return rules.Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        repetition=rules.Repetition(route.type),
        targets=targets or (rules.Target(route.service, 1.0),),
        timeout_ms=route.timeout_ms,
        goal_ms=route.goal_ms,
        gap_goal_ms=route.gap_goal_ms,
        attempts=max(1, route.attempts),
        priority=route.priority,
        is_public=route.public,
        is_resumable=route.resumable,
        regions=_to_regions(route.regions_allowed),
    )


def _to_regions(allowed: list[str] | None) -> regions.Regions:
    return None if allowed is None else frozenset(allowed)


def _to_service(service: _Service) -> rules.Service:
    return rules.Service(
        name=service.name,
        max_connections=service.max_conns,
        engine=_to_engine(service.engine) if service.engine is not None else None,
        cold_start_ms=max(0.0, service.cold_start_s) * MS_PER_S,
        cold_per_s=max(0.0, service.cold_per_s),
    )


def _to_engine(engine: _Engine) -> rules.EngineSpec:
    models = tuple(
        rules.ModelSpec(
            name=model.name,
            group_size=model.size,
            share=model.share,
            pace=model.pace,
            load_s=model.load_s,
            warm_s=model.warm_s,
        )
        for model in engine.models
    )
    return rules.EngineSpec(
        models=models,
        slots=engine.slots,
        kv_tokens=engine.kv_capacity,
        step_ms=engine.step_ms,
        sequence_step_ms=engine.per_seq_ms,
        context_step_ms=engine.context_per_k,
        read_tokens_per_s=engine.read_per_s,
        usual_answer_tokens=engine.usual.answer,
        form_ms=engine.form_ms,
        loads_per_s=engine.loads_per_s,
        loads_at_once=engine.loads_at_once,
        cross_domain_factor=engine.far_x,
        event_tokens=engine.stride,
        report_lag_ms=engine.report_lag_ms,
        keeps=engine.keeps,
    )
