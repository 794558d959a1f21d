"""Fills in the settings template of the deploy file, as far as that template needs it."""

import json
import re

TAG = re.compile(r"\{\{([^}]*)\}\}")
SECTION = re.compile(r"\{\{#([^}]*)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)


def render(template: str, fields: dict) -> str:
    """Return a template with its placeholders and sections replaced.

    Values, `|json`, and sections over a table or a value are known, with `.`, `@` and `,` in them.
    """
    text = SECTION.sub(lambda found: _render_section(found, fields), template)
    return TAG.sub(lambda found: _render_value(found.group(1), fields), text)


def _find(name: str, fields: dict) -> object:
    if name == ".":
        return fields["."]
    value: object = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def _render_section(found: re.Match, fields: dict) -> str:
    value = _find(found.group(1), fields)
    if not value:
        return ""
    items = list(value.items()) if isinstance(value, dict) else [("0", value)]
    rendered = []
    for number, (key, item) in enumerate(items):
        text = found.group(2).replace("{{@}}", key)
        text = text.replace("{{,}}", "," if number + 1 < len(items) else "")
        rendered.append(render(text, {**fields, ".": item}))
    return "".join(rendered)


def _render_value(tag: str, fields: dict) -> str:
    name, _, form = tag.partition("|")
    value = _find(name, fields)
    if form == "json":
        return json.dumps(value)
    if value is None:
        return ""
    return value if isinstance(value, str) else json.dumps(value)
