"""Tests that what the documents name exists, and that their tables are complete."""

import pathlib
import re

import pytest
from typer import main

from tanagerfork import errors, program
from tanagerfork.cli import app

ROOT = pathlib.Path(__file__).parent.parent
DOCUMENTS = sorted([*ROOT.glob("docs/*.md"), *ROOT.glob("*.md")])
SOURCES = sorted((ROOT / "src" / "tanagerfork").rglob("*.py"))
CODE_SPAN = re.compile(r"`([^`\n]+)`")
CODE_BLOCK_LINE = re.compile(r"^    (.+)$", re.MULTILINE)
MAKE_TARGET = re.compile(r"\bmake ([a-z]+)\b")
FILE_PATH = re.compile(r"^[\w.-]*[\w-]+(/[\w.-]+)+/?$|^[\w-]+\.(md|txt|toml|py|json5)$")
MODULE_RUN = re.compile(r"python -m ([a-z_.]+)")
METRIC_NAME = re.compile(r'"([a-z0-9_]+_(?:total|seconds))"|set_gauge\(\s*"([a-z0-9_]+)"')
NON_FILE_PREFIXES = ("text/", "http", "v1/", "make/")
USER_CREATED = ("draft.json5", "KNOWN-RED.txt", ".venv")


def read_code_snippets(path: pathlib.Path) -> list[str]:
    """Return the code spans and the lines of indented code blocks of a document."""
    text = path.read_text()
    return [*CODE_SPAN.findall(text), *CODE_BLOCK_LINE.findall(text)]


def find_unknown_words(words: list[str]) -> list[str]:
    """Return the words of a command line that name no command or option of the tool."""
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
    """Return the options of the daemon and of the operators' tool."""
    found = {"--install-completion"}
    found |= {option for item in program.make_parser()._actions for option in item.option_strings}
    pending = [main.get_command(app.app)]
    while pending:
        command = pending.pop()
        found |= {option for item in command.params for option in item.opts}
        pending.extend(getattr(command, "commands", {}).values())
    return found


@pytest.mark.parametrize("path", DOCUMENTS, ids=lambda path: path.name)
class TestReferences:
    def test_make_targets_exist(self, path):
        targets = re.findall(r"^([a-z]+):", (ROOT / "Makefile").read_text(), re.MULTILINE)
        named = {
            target for code in read_code_snippets(path) for target in MAKE_TARGET.findall(code)
        }
        assert named <= set(targets)

    def test_commands_of_the_tool_exist(self, path):
        for code in read_code_snippets(path):
            name, *words = code.replace("(", " ").split() or [""]
            if name == "tanagerfork" and words:
                assert find_unknown_words(words) == [], code

    def test_options_exist(self, path):
        options = list_all_options()
        for code in read_code_snippets(path):
            if code.startswith("--"):
                assert code.split()[0].partition("=")[0] in options, code

    def test_files_exist(self, path):
        for code in read_code_snippets(path):
            if not FILE_PATH.match(code) or code.startswith(NON_FILE_PREFIXES):
                continue
            if code.startswith(USER_CREATED):
                continue
            assert (ROOT / code).exists(), code

    def test_links_resolve(self, path):
        for target in re.findall(r"\]\(([^)#]+)\)", path.read_text()):
            if not target.startswith("http"):
                assert (path.parent / target).exists(), target

    def test_modules_exist(self, path):
        for module in MODULE_RUN.findall(path.read_text()):
            assert (ROOT / (module.replace(".", "/") + ".py")).exists(), module


def list_error_classes(base: type[errors.TanagerforkError]) -> set[type[errors.TanagerforkError]]:
    """Return an error class and all its subclasses."""
    return {base}.union(*(list_error_classes(subclass) for subclass in base.__subclasses__()))


class TestCompleteness:
    def test_every_caller_error_is_in_the_callers_table(self):
        rows = [
            [cell.strip(" `") for cell in line.split("|")[1:4]]
            for line in (ROOT / "docs" / "CALLERS.md").read_text().splitlines()
            if line.startswith("| `")
        ]
        abstract = {errors.CallerError}
        for error in list_error_classes(errors.CallerError) - abstract:
            assert [error.kind, str(error.status), error.ran] in rows, error

    def test_every_metric_is_in_the_operators_table(self):
        text = (ROOT / "docs" / "OPERATING.md").read_text()
        names = {
            counted or gauge
            for path in SOURCES
            for counted, gauge in METRIC_NAME.findall(path.read_text())
        }
        assert {name for name in names if f"`{name}`" not in text} == set()
        assert len(names) > 30

    def test_every_command_of_the_tool_is_in_the_operators_document(self):
        text = (ROOT / "docs" / "OPERATING.md").read_text()
        for name, command in main.get_command(app.app).commands.items():
            for verb in getattr(command, "commands", {None: None}):
                words = f"tanagerfork {name} {verb}" if verb else f"tanagerfork {name}"
                assert words in text or name == "version", words
