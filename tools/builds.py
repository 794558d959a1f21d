"""Builds: sources of the daemon at earlier commits, taken from the repository's history."""

import asyncio
import dataclasses
import json
import pathlib
import shutil
import tarfile

from tanagerfork import errors

ROOT = pathlib.Path(__file__).resolve().parent.parent
PARTS = ("src", "deploy")  # What a daemon needs to run.
SETTINGS_SCHEMA = pathlib.PurePath("src/tanagerfork/schema/relay.json")
PRESENT_NAME = "present"


@dataclasses.dataclass(slots=True, frozen=True)
class Build:
    """Sources that a daemon is started from.

    `name` is the commit, or `present` for the working tree.
    """

    name: str
    folder: pathlib.Path

    @property
    def program(self) -> pathlib.Path:
        """Program that starts the daemon."""
        return self.folder / "deploy" / "relayd.py"

    @property
    def is_present(self) -> bool:
        """Whether this is the working tree."""
        return self.folder == ROOT

    @property
    def hands_over(self) -> bool:
        """Whether daemons of the build hand requests over to each other."""
        return "forwarding" in self.list_settings()

    @property
    def limits_cold_sends(self) -> bool:
        """Whether daemons of the build keep to the rate that cold upstreams take."""
        return (self.folder / "src/tanagerfork/relay/cold_limits.py").exists()

    @property
    def keeps_regions(self) -> bool:
        """Whether daemons of the build know regions and evacuations, which came together."""
        return "regions" in self.list_settings()

    @property
    def most_unread(self) -> int:
        """Notices that a daemon may fail to read after each start.

        The commits that hand requests over read no notices of the older form, and get some of it
        until their entries are read, after a start or a restored store.
        """
        return 20 if self.hands_over and not self.is_present else 0

    def list_settings(self) -> frozenset[str]:
        """Return the names of the settings that the build knows."""
        schema = json.loads((self.folder / SETTINGS_SCHEMA).read_text())
        return frozenset(schema["$defs"]["RelaySettings"]["properties"])


PRESENT = Build(PRESENT_NAME, ROOT)


async def describe_missing(commit: str) -> str:
    """Return why a commit cannot be extracted; empty if it can be.

    :param commit: commit.
    """
    process = await asyncio.create_subprocess_exec(
        "git", "-C", str(ROOT), "cat-file", "-e", f"{commit}^{{commit}}"
    )
    if not await process.wait():
        return ""
    return f"the clone has no commit {commit}, it may be shallow; run git fetch --unshallow"


async def extract(commit: str, parent: pathlib.Path) -> Build:
    """Extract the sources of a commit.

    :param commit: commit; `present` for the working tree, which is not copied.
    :param parent: existing folder in which that of the build is created, unless it exists.
    :raises InternalFailure: the clone lacks the commit.
    """
    if commit == PRESENT_NAME:
        return PRESENT
    folder = parent / commit
    if not folder.exists():
        missing = await describe_missing(commit)
        if missing:
            raise errors.InternalFailure(missing)
        await _unpack(commit, folder)
    return Build(commit, folder)


def make_mutant(parent: pathlib.Path, path: str, text: str, changed: str) -> Build:
    """Copy the working tree with one text changed.

    :param parent: folder in which the folder of the mutant is created.
    :param path: file of the text, from the root of the repository.
    :param text: text, which occurs in the file once.
    :param changed: text that replaces it.
    :raises InternalFailure: the text does not occur once.
    """
    folder = parent / "mutant"
    for part in PARTS:
        shutil.copytree(ROOT / part, folder / part, ignore=shutil.ignore_patterns("__pycache__"))
    content = (folder / path).read_text()
    if content.count(text) != 1:
        raise errors.InternalFailure(f"{path} does not contain {text!r} once; adapt the mutant")
    (folder / path).write_text(content.replace(text, changed))
    return Build("mutant", folder)


async def _unpack(commit: str, folder: pathlib.Path) -> None:
    archive = folder.with_suffix(".tar")
    process = await asyncio.create_subprocess_exec(
        "git", "-C", str(ROOT), "archive", f"--output={archive}", commit, *PARTS
    )
    if await process.wait():
        raise errors.InternalFailure(f"git archive of {commit} failed; see its message above")
    with tarfile.open(archive) as packed:
        packed.extractall(folder, filter="data")
    archive.unlink()
