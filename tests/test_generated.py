"""Tests of the generated records."""

import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).parent.parent / "src" / "tanagerfork"


class TestGenerate:
    def test_committed_code_matches_the_schemas(self, tmp_path):
        pytest.importorskip("datamodel_code_generator")
        from tools import generate

        generate.main(str(tmp_path))
        for generated in sorted(tmp_path.glob("*.py")):
            assert generated.read_text() == (PACKAGE / "generated" / generated.name).read_text()
