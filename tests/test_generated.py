"""Tests of the generated records."""

import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).parent.parent / "src" / "tanagerfork"


class TestGenerate:
    def test_committed_code_is_what_the_schemas_give(self, tmp_path):
        pytest.importorskip("datamodel_code_generator")
        from tools import generate

        generate.main(str(tmp_path))
        for made in sorted(tmp_path.glob("*.py")):
            assert made.read_text() == (PACKAGE / "generated" / made.name).read_text()
