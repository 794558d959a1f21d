"""Rules: routes, teams, and that an older version never replaces a newer one."""

import msgspec
import pytest

from tanagerfork import errors
from tanagerfork.platform import config
from tanagerfork.relay import rules
from tanagerfork_standins.platform import site


def make_route(prefix: str, **changes: object) -> dict[str, object]:
    return {
        "name": prefix,
        "host": "h",
        "prefix": prefix,
        "type": "safe",
        "service": "s",
        **changes,
    }


def decode(version: int = 1, **fields: object) -> rules.Rules:
    value = {"version": version, "routes": [], "services": [], **fields}
    return config.decode_rules(msgspec.json.encode(value)).unwrap()


class TestRoutes:
    @pytest.mark.parametrize(
        "path, name",
        [("/a/x", "/a/"), ("/a/b/x", "/a/b/"), ("/a/b", "/a/"), ("/c", "/"), ("/a/b/c/d", "/a/b/")],
    )
    def test_longest_prefix(self, path: str, name: str) -> None:
        routes = [make_route(prefix) for prefix in ("/", "/a/", "/a/b/")]
        assert decode(routes=routes).match("h", path).name == name

    def test_search_does_not_grow_with_the_slashes_of_a_path(self) -> None:
        """Guards against paths of slashes that hold up the event loop for tens of ms each."""

        class CountingDict(dict):  # type: ignore[type-arg]
            lookups = 0

            def get(self, key: object, default: object = None) -> object:
                self.lookups += 1
                return super().get(key, default)

        decoded = decode(routes=[make_route(prefix) for prefix in ("/a/", "/b/", "/a/b/")])
        counting = decoded._routes_by_prefix = CountingDict(decoded._routes_by_prefix)
        with pytest.raises(errors.NotFound) as caught:
            decoded.match("h", "/" * 16_000)
        assert counting.lookups <= 2 and len(caught.value.message) < 300

    def test_prefix_without_a_slash_at_its_end_matches_nothing(self) -> None:
        with pytest.raises(errors.NotFound):
            decode(routes=[make_route("/ab")]).match("h", "/abc")

    def test_no_match(self) -> None:
        with pytest.raises(errors.NotFound):
            decode(routes=[make_route("/a/")]).match("h", "/b/x")
        with pytest.raises(errors.NotFound):
            decode(routes=[make_route("/a/")]).match("other", "/a/x")

    @pytest.mark.parametrize(
        "kind, resumable, repeats",
        [
            ("safe", False, True),
            ("unsafe", True, False),
            ("stream", True, True),
            ("stream", False, False),
        ],
    )
    def test_type_decides_what_may_be_repeated(
        self, kind: str, resumable: bool, repeats: bool
    ) -> None:
        routes = [make_route("/safe-looking/", type=kind, resumable=resumable)]
        assert decode(routes=routes).routes[0].is_repeatable is repeats

    def test_split_follows_weights_and_is_stable_per_id(self) -> None:
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        route = decode(routes=[make_route("/a/", split=split)]).routes[0]
        chosen = [route.choose_service(f"r{number}") for number in range(2000)]
        assert 0.07 < chosen.count("b") / 2000 < 0.13
        assert chosen == [route.choose_service(f"r{number}") for number in range(2000)]


class TestTeams:
    def test_key_names_its_team(self) -> None:
        found = decode(
            routes=[make_route("/a/"), make_route("/p/", public=True)],
            tenants=[{"name": "t", "apiKeys": ["k1", "k2"], "priority": 1}],
        )
        private, public = found.routes
        team = found.identify(private, "k2")
        assert team is not None and team.name == "t"
        assert found.identify(public, "") is None
        with pytest.raises(errors.Unauthorized):
            found.identify(private, "k3")

    def test_no_key_is_required_without_tenants(self) -> None:
        found = decode(routes=[make_route("/a/")])
        assert found.identify(found.routes[0], "") is None


class TestVersions:
    def test_only_newer_rules_are_put_in_force(self) -> None:
        register = rules.RulesRegister()
        assert register.replace_if_newer(decode(7))
        assert not register.replace_if_newer(decode(6)) and not register.replace_if_newer(decode(7))
        assert register.replace_if_newer(decode(12))
        assert register.current is not None and register.current.version == 12

    @pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"version": "x", "routes": []}'])
    def test_unreadable_configuration(self, value: bytes) -> None:
        assert config.decode_rules(value).is_err()

    def test_unknown_fields_are_ignored(self) -> None:
        value = {**site.Site(engine_count=0, plain_count=0).make_config(), "new": {"a": 1}}
        assert config.decode_rules(msgspec.json.encode(value)).is_ok()


class TestEngines:
    @pytest.mark.parametrize("value", [0, -2])
    def test_what_daemons_divide_by_is_at_least_1(self, value: int) -> None:
        """The coordinator divided by zero in each step, so that no group was repaired."""
        engine = {"models": [], "slots": value, "far_x": value}
        decoded = decode(services=[{"name": "s", "engine": engine}]).services["s"].engine
        assert decoded and (decoded.slots, decoded.cross_domain_factor) == (1, 1.0)

    @pytest.mark.parametrize(("fields", "tokens"), [({"stride": 8}, 8), ({}, 1)])
    def test_tokens_of_an_event_come_from_the_configuration(
        self, fields: dict[str, int], tokens: int
    ) -> None:
        engine = {**site.make_engine_config(), **fields}
        decoded = decode(services=[{"name": "s", "engine": engine}]).services["s"].engine
        assert decoded is not None and decoded.event_tokens == tokens


class TestPriorities:
    """Only where requests have several is their order told to upstreams."""

    @pytest.mark.parametrize(
        ("team_priorities", "is_public", "found"),
        [
            (None, False, {0, 2}),
            ([None], False, {0, 2}),
            ([5], False, {5}),
            ([5, 5], True, {0, 2, 5}),
            ([5, None], False, {0, 2, 5}),
            ([4, 5], False, {4, 5}),
        ],
    )
    def test_that_of_the_team_overrides_that_of_the_route(
        self, team_priorities: list[int | None] | None, is_public: bool, found: set[int]
    ) -> None:
        tenants = team_priorities and [
            {"name": f"t{n}", "apiKeys": [f"k{n}"], "priority": priority}
            for n, priority in enumerate(team_priorities)
        ]
        routes = [
            make_route("/a/", priority=0, public=is_public),
            make_route("/b/", priority=2, public=is_public),
        ]
        decoded = decode(routes=routes, tenants=tenants)
        assert decoded.list_priorities() == found
        if tenants and tenants[0]["priority"]:
            route = decoded.match("h", "/b/x")
            assert rules.find_priority(route, decoded.identify(route, "k0")) == 5 - (
                found == {4, 5}
            )
