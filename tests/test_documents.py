"""Tests that what the documents name exists, and that they name what there is."""

import pathlib
import re

import pytest
from typer import main

from tanagerfork import errors, program
from tanagerfork.cli import app

ROOT = pathlib.Path(__file__).parent.parent
DOCUMENTS = sorted([*ROOT.glob("docs/*.md"), *ROOT.glob("*.md")])
SOURCES = sorted((ROOT / "src" / "tanagerfork").rglob("*.py"))
CODE = re.compile(r"`([^`\n]+)`")
BLOCK = re.compile(r"^    (.+)$", re.MULTILINE)
MAKE = re.compile(r"\bmake ([a-z]+)\b")
PATH = re.compile(r"^[\w.-]*[\w-]+(/[\w.-]+)+/?$|^[\w-]+\.(md|txt|toml|py|json5)$")
MODULE = re.compile(r"python -m ([a-z_.]+)")
METRIC = re.compile(r'"([a-z0-9_]+_(?:total|seconds))"|set_gauge\(\s*"([a-z0-9_]+)"')
FOREIGN_PREFIXES = ("text/", "http", "v1/", "make/")
MADE_BY_USERS = ("draft.json5", "KNOWN-RED.txt", ".venv")


def read_code(path: pathlib.Path) -> list[str]:
    """Return what stands as code in a document."""
    text = path.read_text()
    return [*CODE.findall(text), *BLOCK.findall(text)]


def find_command(words: list[str]) -> list[str]:
    """Walk down the tool's commands; return the words that name none."""
    command = main.get_command(app.app)
    while words and hasattr(command, "commands"):
        if words[0] not in command.commands:
            return words[:1] if not words[0].startswith("-") else []
        command = command.commands[words.pop(0)]
    known = {option for item in command.params for option in item.opts}
    known |= {"--help", "--install-completion"}
    options = {word.partition("=")[0] for word in words if word.startswith("--")}
    return sorted(options - known)


def list_all_options() -> set[str]:
    """Return all options of the two programs."""
    found = {"--install-completion"}
    found |= {option for item in program.make_parser()._actions for option in item.option_strings}
    waiting = [main.get_command(app.app)]
    while waiting:
        command = waiting.pop()
        found |= {option for item in command.params for option in item.opts}
        waiting.extend(getattr(command, "commands", {}).values())
    return found


@pytest.mark.parametrize("path", DOCUMENTS, ids=lambda path: path.name)
class TestNamedThings:
    def test_make_targets_exist(self, path):
        targets = re.findall(r"^([a-z]+):", (ROOT / "Makefile").read_text(), re.MULTILINE)
        named = {target for code in read_code(path) for target in MAKE.findall(code)}
        assert named <= set(targets)

    def test_commands_of_the_tool_exist(self, path):
        for code in read_code(path):
            name, *words = code.replace("(", " ").split() or [""]
            if name == "tanagerfork" and words:
                assert find_command(words) == [], code

    def test_options_exist(self, path):
        options = list_all_options()
        for code in read_code(path):
            if code.startswith("--"):
                assert code.split()[0].partition("=")[0] in options, code

    def test_files_exist(self, path):
        for code in read_code(path):
            if not PATH.match(code) or code.startswith(FOREIGN_PREFIXES):
                continue
            if code.startswith(MADE_BY_USERS):
                continue
            assert (ROOT / code).exists(), code

    def test_links_lead_somewhere(self, path):
        for target in re.findall(r"\]\(([^)#]+)\)", path.read_text()):
            if not target.startswith("http"):
                assert (path.parent / target).exists(), target

    def test_modules_exist(self, path):
        for module in MODULE.findall(path.read_text()):
            assert (ROOT / (module.replace(".", "/") + ".py")).exists(), module


def list_kinds(base: type[errors.TanagerforkError]) -> set[type[errors.TanagerforkError]]:
    """Return a class of errors with all classes under it."""
    return {base}.union(*(list_kinds(inner) for inner in base.__subclasses__()))


class TestCompleteness:
    def test_every_error_that_callers_get_is_in_their_table(self):
        rows = [
            [cell.strip(" `") for cell in line.split("|")[1:4]]
            for line in (ROOT / "docs" / "CALLERS.md").read_text().splitlines()
            if line.startswith("| `")
        ]
        abstract = {errors.CallerError}
        for error in list_kinds(errors.CallerError) - abstract:
            assert [error.kind, str(error.status), error.ran] in rows, error

    def test_every_metric_is_in_the_operators_table(self):
        text = (ROOT / "docs" / "OPERATING.md").read_text()
        named = {
            counted or gauge
            for path in SOURCES
            for counted, gauge in METRIC.findall(path.read_text())
        }
        assert {name for name in named if f"`{name}`" not in text} == set()
        assert len(named) > 30

    def test_every_command_of_the_tool_is_named(self):
        text = (ROOT / "docs" / "OPERATING.md").read_text()
        for name, command in main.get_command(app.app).commands.items():
            for verb in getattr(command, "commands", {None: None}):
                words = f"tanagerfork {name} {verb}" if verb else f"tanagerfork {name}"
                assert words in text or name == "version", words
