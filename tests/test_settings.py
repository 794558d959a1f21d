"""Tests of the settings."""

import pathlib

import pytest

from tanagerfork import errors, settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
EMBEDDED = EXAMPLES / "press" / "embedded.json5"


class TestLoad:
    @pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*/*-[12].json5")), ids=str)
    def test_example_settings_are_valid(self, path):
        assert settings.load_settings(path).name == path.stem

    @pytest.mark.parametrize(
        ("override", "field"),
        [
            ("unknown=1", "unknown"),
            ("callers.port=70000", "callers.port"),
            ("callers.port=x", "callers.port"),
            ("callers.host=localhost", "callers.host"),
            ("peers.seeds=['10.0.0.1']", "peers.seeds[0]"),
            ("peers.shared_key=", "peers.shared_key_path"),
            ("peers.suspicion_ms=10000", "peers.suspicion_ms"),
            ("peers.seeds=['10.0.0.1:²']", "peers.seeds[0]"),
            ("groups.order_timeout_ms=4000", "groups.order_timeout_ms"),
            ("limits.default_deadline_ms=900000", "limits.default_deadline_ms"),
        ],
    )
    def test_invalid_value_gives_one_line_with_file_field_and_remedy(self, override, field):
        with pytest.raises(errors.SettingsError) as caught:
            settings.load_settings(EMBEDDED, (override,))
        assert str(EMBEDDED) in caught.value.message
        assert field in caught.value.message
        assert ";" in caught.value.message and "\n" not in caught.value.message

    def test_missing_file(self, tmp_path):
        with pytest.raises(errors.SettingsError, match="name a readable file"):
            settings.load_settings(tmp_path / "none.json5")

    def test_override_takes_precedence_over_the_file(self):
        assert settings.load_settings(EMBEDDED, ("callers.port=1234",)).callers.port == 1234
