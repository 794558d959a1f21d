"""Tests of the bundle checks that the schema cannot express."""

import msgspec
import pytest

from tanagerfork import errors
from tanagerfork.bundles import document
from tanagerfork.generated import bundle as records
from tests import bundle_drafts

RULE = records.Repeatable
INVALID_FIELDS = [
    ("models.0.max_unavailable", 3, "max_unavailable", "at most 2"),
    ("models.0.name", "rota writer", "models.rota writer", "A-Z"),
    ("models.0.adapters", ["a", "a"], "adapters", "keep one"),
    ("models.0.first_token_ms", 1, "first_token_ms", "raise it"),
    ("models.0.placement.0.groups", 10_000 * 10_000, "placement", "lower it"),
    ("services.0.upstreams", [], "upstreams", "name at least one"),
    ("services.0.repeatable", [RULE(method="get", path_prefix="")], "method", "GET"),
    ("services.0.repeatable", [RULE(method="GET", path_prefix="/a")], "path_prefix", "'a'"),
    ("services.0.repeatable", [RULE(method="GET", path_prefix="a")] * 2, "repeatable", "keep one"),
    ("teams.0.token_sha256", [], "token_sha256", "add the hash"),
    ("teams.0.token_sha256", ["Z" * 64], "token_sha256", "not the token itself"),
    ("teams.0.models", ["other"], "teams.team-0000.models", "add or drop"),
    ("teams.0.services", ["other"], "teams.team-0000.services", "add or drop"),
    ("teams.0.name", "team-0001", "teams", "keep one"),
    (
        "priorities",
        [records.PriorityRule(tag="handover", priority=9)] * 2,
        "priorities",
        "keep one",
    ),
]


class TestCheckBundle:
    def test_valid_bundle_passes(self):
        document.check_bundle(bundle_drafts.make_bundle())

    @pytest.mark.parametrize(("path", "value", "field", "remedy"), INVALID_FIELDS)
    def test_error_names_field_and_remedy(self, path, value, field, remedy):
        bundle = bundle_drafts.make_bundle()
        *steps, last = path.split(".")
        target = bundle
        for step in steps:
            target = target[int(step)] if step.isdigit() else getattr(target, step)
        setattr(target, last, value)
        with pytest.raises(errors.BundleInvalid) as caught:
            document.check_bundle(bundle)
        assert field in caught.value.message and remedy in caught.value.message

    def test_unknown_field_is_refused_by_the_schema(self):
        with pytest.raises(msgspec.ValidationError):
            msgspec.json.decode(b'{"name": "x", "model": []}', type=records.Bundle)
