"""Templates: workspace bodies with parameters that are substituted."""

import re
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple

from wagtailpoint.checking import (
    REQUIRED,
    ObjectReader,
    describe_choices,
    describe_range,
    did_you_mean,
    in_range,
    is_number,
    show,
)
from wagtailpoint.errors import Mistake

PARAMETER_TYPES: Final = ("string", "integer", "number", "boolean")
_REFERENCE = re.compile(r"\$\{([^}]*)\}")


class Parameter(NamedTuple):
    """One parameter of a template.

    Attributes:
        name: The name in references such as ``${name}``.
        type: One of ``PARAMETER_TYPES``.
        default: The value if the workspace sets none; ``REQUIRED`` if it has to set one.
        minimum: The smallest number allowed, or None.
        maximum: The largest number allowed, or None.
        choices: The values allowed, or None for any.
        description: A text for operators.
    """

    name: str
    type: str
    default: Any
    minimum: float | None
    maximum: float | None
    choices: tuple[Any, ...] | None
    description: str

    @property
    def expected(self) -> str:
        """A description of valid values for error messages."""
        if self.choices is not None:
            return describe_choices(show(choice) for choice in self.choices)
        if self.type in ("integer", "number"):
            return "parameter" + describe_range(self.type, None, self.minimum, self.maximum)
        return f"parameter ({self.type})"

    def accepts(self, value: Any) -> bool:
        """Return whether a value has the right type, is in range and is one of the choices."""
        if not _has_type(value, self.type):
            return False
        if self.choices is not None and value not in self.choices:
            return False
        if self.type in ("integer", "number"):
            return in_range(value, None, self.minimum, self.maximum)
        return True


class Template(NamedTuple):
    """A workspace body with references to parameters.

    Attributes:
        name: Its name.
        parameters: Its parameters, by name.
        body: The workspace's JSON with references such as ``${name}``.
    """

    name: str
    parameters: Mapping[str, Parameter]
    body: Mapping[str, Any]


def read_template(name: str, reader: ObjectReader, mistakes: list[Mistake]) -> Template:
    """Read a ``template`` object and check its references to parameters."""
    parameters = {
        key: _read_parameter(key, item)
        for key, item in reader.named_objects("parameters", default={}).items()
    }
    body = reader.mapping("workspace")
    reader.finish()
    for path_of_value, reference in _find_references(body, reader.path_of("workspace")):
        if reference not in parameters:
            expected = describe_choices(parameters) + did_you_mean(reference, parameters)
            given = show("${" + reference + "}")
            mistakes.append(
                Mistake(path_of_value, given, f"a parameter of this template, {expected}")
            )
    return Template(name, parameters, body)


def expand_template(
    template: Template, given: Mapping[str, Any], *, path: str, mistakes: list[Mistake]
) -> dict[str, Any]:
    """Substitute a workspace's parameters in its template.

    Args:
        template: The template.
        given: The workspace's parameters.
        path: The path of the workspace's parameters in error messages.
        mistakes: The list to which mistakes are appended.

    Returns:
        The workspace's body; valid only if no mistake was recorded.
    """
    for name, value in given.items():
        if name not in template.parameters:
            known = template.parameters
            expected = f"a parameter of template/{template.name}, {describe_choices(known)}"
            mistake = Mistake(f"{path}.{name}", show(value), expected + did_you_mean(name, known))
            mistakes.append(mistake)
    values = {}
    for name, parameter in template.parameters.items():
        value = given.get(name, parameter.default)
        if value is REQUIRED:
            mistakes.append(Mistake(f"{path}.{name}", "nothing", parameter.expected))
        elif not parameter.accepts(value):
            mistakes.append(Mistake(f"{path}.{name}", show(value), parameter.expected))
        values[name] = value
    filled: dict[str, Any] = _substitute(template.body, values)
    return filled


def _read_parameter(name: str, reader: ObjectReader) -> Parameter:
    choices = reader.items("choices", expected="values", default=[])
    parameter = Parameter(
        name=name,
        type=reader.text("type", choices=PARAMETER_TYPES),
        default=REQUIRED,
        minimum=reader.optional_number("minimum", unit="smallest value"),
        maximum=reader.optional_number("maximum", unit="largest value"),
        choices=tuple(choices) or None,
        description=reader.text("description", default="-"),
    )
    if reader.has("default"):
        default = reader.raw("default")
        if parameter.type in PARAMETER_TYPES and not parameter.accepts(default):
            reader.mistake("default", default, parameter.expected)
        parameter = parameter._replace(default=default)
    reader.finish()
    return parameter


def _has_type(value: Any, type_name: str) -> bool:
    if type_name == "string":
        return isinstance(value, str)
    if type_name == "boolean":
        return isinstance(value, bool)
    if type_name == "integer":
        return isinstance(value, int) and not isinstance(value, bool)
    return is_number(value)


def _find_references(value: Any, path: str) -> Iterator[tuple[str, str]]:
    """Yield the path and the parameter name of every reference."""
    if isinstance(value, str):
        for reference in _REFERENCE.findall(value):
            yield path, reference
    elif isinstance(value, dict):
        for key, item in value.items():
            yield from _find_references(item, f"{path}.{key}")
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _find_references(item, f"{path}[{index}]")


def _substitute(value: Any, values: Mapping[str, Any]) -> Any:
    if isinstance(value, str):
        whole = _REFERENCE.fullmatch(value)
        if whole and whole[1] in values:
            return values[whole[1]]
        return _REFERENCE.sub(lambda found: str(values.get(found[1], found[0])), value)
    if isinstance(value, dict):
        return {key: _substitute(item, values) for key, item in value.items()}
    if isinstance(value, list):
        return [_substitute(item, values) for item in value]
    return value
