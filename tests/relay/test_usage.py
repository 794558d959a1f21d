"""What a daemon learns of a model's requests."""

import pytest

from tanagerfork.relay import rules, usage
from tanagerfork_standins.platform import site
from tests.relay import deployments

MODELS = tuple(rules.ModelSpec(name, 2, 0.5, 1.0, 12.0, 1.1) for name in ("small", "large"))
USUAL_TOKENS = 116.0
ENGINE = rules.EngineSpec(MODELS, 13, 700_000, 6, 0.5, 0.01, 46_000, USUAL_TOKENS, 300, 4, 6)


class TestAnswers:
    def test_configured_length_counts_until_answers_are_seen(self) -> None:
        book = usage.UsageBook()
        assert book.find("writer", "small", ENGINE).answer_tokens == USUAL_TOKENS
        for _ in range(200):
            book.find("writer", "small", ENGINE).note_answer(20)
        assert book.find("writer", "small", ENGINE).answer_tokens == pytest.approx(20, 0.01)
        assert book.find("writer", "large", ENGINE).answer_tokens == USUAL_TOKENS

    def test_names_that_callers_make_up_take_no_memory(self) -> None:
        book = usage.UsageBook()
        for number in range(100):
            book.find("writer", f"unknown-{number}", ENGINE).note_arrival("draft", 500)
        assert not book._usages

    async def test_streams_that_pass_through_are_counted(self) -> None:
        async with deployments.deploy() as deployed:
            config = deployed.site.make_config()
            config["services"][1]["engine"]["stride"] = 4
            deployed.site.write_config(services=config["services"])
            await deployed.wait_for_group()
            relay = deployed.daemons[0].front._relay
            for index in range(60):
                assert (await deployed.ask(f"/stream/{index}", "POST", b"x")).status == 200
            learned = relay._chooser._usages.find(site.ENGINE_SERVICE, site.SMALL_MODEL, ENGINE)
            assert 20 < learned.answer_tokens < 30  # Five events of four tokens.


class TestGoals:
    def test_shortest_goal_of_the_routes_that_use_the_model(self) -> None:
        model = usage.ModelUsage(USUAL_TOKENS)
        assert model.note_arrival("draft", 500) == 500
        assert model.note_arrival("note", 300) == 300
        assert model.note_arrival("draft", 500) == 300

    def test_goals_of_an_earlier_version_are_forgotten(self) -> None:
        book = usage.UsageBook()
        book.find("writer", "small", ENGINE).note_arrival("note", 300)
        book.follow_version(2)
        assert book.find("writer", "small", ENGINE).note_arrival("draft", 500) == 500
