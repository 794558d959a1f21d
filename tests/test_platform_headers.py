"""Headers of the users' platform."""

import math

import hypothesis
import pytest
from hypothesis import strategies

from tanagerfork import errors
from tanagerfork.platform import headers
from tanagerfork.relay import calls

NAMES = [
    headers.PREFIX,
    headers.TOKENS,
    headers.DEADLINE,
    headers.LIMIT,
    headers.LEAVING,
    headers.RETRY_AFTER,
    headers.LOAD,
    headers.AUTHORIZATION,
]
TEXTS = strategies.one_of(
    strategies.text(strategies.characters(max_codepoint=255), max_size=40),
    strategies.floats().map(str),
    strategies.integers().map(str),
    strategies.from_regex(r"\A([0-9a-fA-F]{0,70}:[0-9]{0,4},){0,30}\Z"),
)
MAX_HEADER_BYTES = 16_384
FIXED = hypothesis.settings(derandomize=True, max_examples=300, deadline=None)


class TestPromptParts:
    @pytest.mark.parametrize(
        "text, parts",
        [
            ("5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
            ("5C1E:800, 91bd:410 ,e440:250", ("5c1e", "91bd")),
            ("5c1e:800,5c1e:410,e440:250", ("5c1e",)),
            ("e4402b7d:250", ()),
            ("", ()),
            (":1,zz:4,,5c1e,e440:250", ("5c1e",)),
            ("a" * 65 + ":1,e440:250", ()),
        ],
    )
    def test_all_but_the_last_are_read_and_malformed_ones_left_out(
        self, text: str, parts: tuple[str, ...]
    ) -> None:
        facts = headers.PlatformDialect().read_request({headers.PREFIX: text})
        assert facts.prompt_parts == parts

    def test_their_number_is_bounded(self) -> None:
        text = ",".join(f"{number:x}:1" for number in range(2 * headers.MAX_SHARED_PARTS))
        facts = headers.PlatformDialect().read_request({headers.PREFIX: text})
        assert len(facts.prompt_parts) == headers.MAX_SHARED_PARTS

    @pytest.mark.parametrize("digits", [3, 8, 64])
    def test_all_parts_of_the_longest_header_are_read(self, digits: int) -> None:
        count = MAX_HEADER_BYTES // (digits + len(":1,"))
        ids = [f"{number:0{digits}x}" for number in range(count)]
        text = ",".join(f"{part}:1" for part in ids)
        facts = headers.PlatformDialect().read_request({headers.PREFIX: text})
        assert facts.prompt_parts == tuple(ids[:-1])


class TestArbitraryValues:
    """Whatever bytes a header has, what is read of it is bounded, or a typed error."""

    @FIXED
    @hypothesis.given(strategies.dictionaries(strategies.sampled_from(NAMES), TEXTS))
    def test_requests(self, sent: dict[str, str]) -> None:
        try:
            facts = headers.PlatformDialect().read_request(sent)
        except errors.BadRequest as error:
            assert "send" in error.message
            return
        assert not math.isnan(facts.deadline_ms)
        assert len(facts.prompt_parts) <= headers.MAX_SHARED_PARTS
        assert all(0 < len(part) <= 64 for part in facts.prompt_parts)

    @FIXED
    @hypothesis.given(
        strategies.sampled_from([200, 421, 429, 500, 503]),
        strategies.dictionaries(strategies.sampled_from(NAMES), TEXTS),
    )
    def test_responses(self, status: int, sent: dict[str, str]) -> None:
        facts = headers.PlatformDialect().read_response(status, sent)
        assert 0 <= facts.quiet_ms <= headers.MAX_QUIET_MS
        assert facts.limit_per_s is None or not facts.limit_per_s < 0
        assert facts.limit_per_s != math.inf


class TestQueuePriority:
    """Upstreams serve their queue by it, so that a caller must not set it in the daemon's place."""

    @pytest.mark.parametrize(("queue_priority", "sent"), [(0, ["0"]), (9, ["9"]), (None, ["3"])])
    def test_own_value_replaces_that_of_the_caller(
        self, queue_priority: int | None, sent: list[str]
    ) -> None:
        facts = headers.PlatformDialect().read_request({})
        own = [(headers.PRIORITY.lower(), "3")]
        request = calls.CallerRequest(facts, "POST", "/", "h", own, b"", 0.0)
        outgoing = calls.SendFields("i-1", "desk", 900, "", queue_priority)
        made = headers.PlatformDialect().make_upstream_headers(request, outgoing)
        assert [value for name, value in made if name.lower() == own[0][0]] == sent


class TestTokenRange:
    @pytest.mark.parametrize("text", ["-1,5", "5,-1", f"{2**40},1", f"{10**400},1"])
    def test_tokens_out_of_range_are_refused(self, text: str) -> None:
        """One such request would spoil what is learned of all requests of a model."""
        with pytest.raises(errors.BadRequest):
            headers.PlatformDialect().read_request({headers.TOKENS: text})
