"""Generates msgspec structs from the JSON Schemas of the package."""

import json
import pathlib
import sys

import black
import datamodel_code_generator
from datamodel_code_generator import enums, format

SOURCE = pathlib.Path(__file__).parent.parent / "src" / "tanagerfork"
LINE_CHARS = 100
BASE_CLASSES = {  # Strict where people write the JSON, compact where peers exchange it.
    "bundle": "StrictRecord",
    "settings": "StrictRecord",
    "relay": "StrictRecord",
    "peers": "CompactRecord",
    "notices": "CompactRecord",
}
HEADER = '"""Generated from schema/{name}.json by `make generate`; do not edit."""'


def read_schema(schema_path: pathlib.Path) -> str:
    """Read a schema and mark every field as required.

    The generator types an optional field as a union with UNSET. A required field with a default
    gets neither: it is never UNSET and keeps its default in the generated struct.

    :param schema_path: JSON Schema file.
    :return: modified JSON Schema as text.
    """
    schema = json.loads(schema_path.read_text())
    for definition in schema["$defs"].values():
        definition["required"] = list(definition["properties"])
    return json.dumps(schema)


def generate_module(schema_path: pathlib.Path, target_path: pathlib.Path) -> None:
    """Generate the module with the structs of one schema.

    :param schema_path: JSON Schema file.
    :param target_path: Python module to write.
    """
    base_class = BASE_CLASSES.get(schema_path.stem, "Record")
    datamodel_code_generator.generate(
        read_schema(schema_path),
        input_filename=schema_path.name,
        input_file_type=enums.InputFileType.JsonSchema,
        output=target_path,
        output_model_type=enums.DataModelType.MsgspecStruct,
        target_python_version=format.PythonVersion.PY_311,
        formatters=[],
        custom_file_header=HEADER.format(name=schema_path.stem),
        use_annotated=True,
        field_constraints=True,
        use_schema_description=True,
        use_union_operator=True,
        use_standard_collections=True,
        apply_default_values_for_required_fields=True,
        enum_field_as_literal=datamodel_code_generator.LiteralType.All,
        base_class="tanagerfork.record." + base_class,
    )
    mode = black.Mode(target_versions={black.TargetVersion.PY311}, line_length=LINE_CHARS)
    target_path.write_text(black.format_str(target_path.read_text(), mode=mode))


def main(target: str = "") -> None:
    """Generate the module of every schema.

    :param target: folder to write to; empty for the package's `generated` folder.
    """
    folder = pathlib.Path(target) if target else SOURCE / "generated"
    for schema_path in sorted((SOURCE / "schema").glob("*.json")):
        generate_module(schema_path, folder / f"{schema_path.stem}.py")


if __name__ == "__main__":
    main(*sys.argv[1:])
