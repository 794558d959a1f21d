"""What a daemon learns of a model's requests."""

import pytest

from tanagerfork.relay import usage
from tanagerfork_standins.platform import site
from tests.relay import deployments

USUAL_TOKENS = 116.0


class TestAnswers:
    def test_configured_length_counts_until_answers_are_seen(self) -> None:
        book = usage.UsageBook()
        assert book.find("writer", "small", USUAL_TOKENS).answer_tokens == USUAL_TOKENS
        for _ in range(200):
            book.find("writer", "small", USUAL_TOKENS).note_answer(20)
        assert book.find("writer", "small", USUAL_TOKENS).answer_tokens == pytest.approx(20, 0.01)
        assert book.find("writer", "large", USUAL_TOKENS).answer_tokens == USUAL_TOKENS

    async def test_streams_that_pass_through_are_counted(self) -> None:
        async with deployments.deploy() as deployed:
            config = deployed.site.make_config()
            config["services"][1]["engine"]["stride"] = 4
            deployed.site.write_config(services=config["services"])
            await deployed.wait_for_group()
            relay = deployed.daemons[0].front._relay
            for index in range(60):
                assert (await deployed.ask(f"/stream/{index}", "POST", b"x")).status == 200
            learned = relay._usages.find(site.ENGINE_SERVICE, site.SMALL_MODEL, USUAL_TOKENS)
            assert 20 < learned.answer_tokens < 30  # Five events of four tokens.


class TestGoals:
    def test_shortest_goal_of_the_routes_that_use_the_model(self) -> None:
        model = usage.ModelUsage(USUAL_TOKENS)
        assert model.note_arrival("draft", 500) == 500
        assert model.note_arrival("note", 300) == 300
        assert model.note_arrival("draft", 500) == 300

    def test_goals_of_an_earlier_version_are_forgotten(self) -> None:
        book = usage.UsageBook()
        book.find("writer", "small", USUAL_TOKENS).note_arrival("note", 300)
        book.follow_version(2)
        assert book.find("writer", "small", USUAL_TOKENS).note_arrival("draft", 500) == 500
