"""Lists the fields of the settings from their JSON Schema."""

import importlib.resources

import msgspec

from tanagerfork import decoding
from tanagerfork.generated import operators

SCHEMA_FILE = "settings.json"
ROOT_DEFINITION = "Settings"
REFERENCE_PREFIX = "#/$defs/"


class Property(msgspec.Struct):
    """One property of a JSON Schema."""

    type: str = ""
    description: str = ""
    reference: str = msgspec.field(default="", name="$ref")
    default: msgspec.Raw | None = None
    enum: list[str] = []
    minimum: float | None = None
    maximum: float | None = None
    items: "Property | None" = None


class Definition(msgspec.Struct):
    """One definition of a JSON Schema."""

    properties: dict[str, Property]
    required: list[str] = []


class Schema(msgspec.Struct):
    """A JSON Schema with definitions."""

    definitions: dict[str, Definition] = msgspec.field(name="$defs")


def describe_fields() -> list[operators.FieldDescription]:
    """Return all fields of the settings, sections before their fields."""
    folder = importlib.resources.files("tanagerfork").joinpath("schema")
    schema = decoding.decode_json(folder.joinpath(SCHEMA_FILE).read_bytes(), Schema)
    return _describe_definition(schema, ROOT_DEFINITION, "")


def _describe_definition(
    schema: Schema, name: str, prefix: str
) -> list[operators.FieldDescription]:
    definition = schema.definitions[name]
    described = []
    for field, item in definition.properties.items():
        path = prefix + field
        is_required = field in definition.required
        described.append(_describe_field(path, item, is_required))
        reference = item.reference or (item.items.reference if item.items else "")
        if reference:
            inner_prefix = path + ("[]." if item.items else ".")
            target = reference.removeprefix(REFERENCE_PREFIX)
            described.extend(_describe_definition(schema, target, inner_prefix))
    return described


def _describe_field(path: str, item: Property, is_required: bool) -> operators.FieldDescription:
    default = bytes(item.default).decode() if item.default is not None else ""
    return operators.FieldDescription(
        path=path,
        type=_describe_type(item),
        default="" if is_required else default,
        description=item.description,
    )


def _describe_type(item: Property) -> str:
    if item.enum:
        return " | ".join(item.enum)
    if item.reference:
        return "section"
    if item.items is not None:
        return f"list of {_describe_type(item.items)}"
    if item.minimum is not None and item.maximum is not None:
        return f"{item.type} {item.minimum:.0f} to {item.maximum:.0f}"
    if item.minimum is not None:
        return f"{item.type} from {item.minimum:.0f}"
    return item.type
