"""Commands that create and adjust workspaces."""

import json
from collections.abc import Mapping, Sequence
from typing import Any

import click
from result import Err, Ok, Result

from wagtailpoint.checking import check_reference
from wagtailpoint.cli.changing import ChangeOptions, Edit, change
from wagtailpoint.cli.failures import CommandError, wrong_input
from wagtailpoint.cli.options import run_command, with_change_options
from wagtailpoint.cli.output import Report
from wagtailpoint.cli.session import Session
from wagtailpoint.errors import InvalidInput, Mistake

_SETS = click.option(
    "--set",
    "sets",
    multiple=True,
    metavar="PARAMETER=VALUE",
    help="Value of a parameter; may be repeated.",
)


@click.group()
def workspace() -> None:
    """Create and adjust workspaces."""


@workspace.command()
@click.argument("name")
@click.option("--template", required=True, help="Template of the workspace.")
@_SETS
@run_command
@with_change_options
async def create(
    session: Session, *, name: str, template: str, sets: tuple[str, ...], options: ChangeOptions
) -> Result[Report, CommandError]:
    """Create the workspace NAME from a template."""
    key = f"workspace/{name}"

    def edit(objects: Mapping[str, Any]) -> Result[Edit, InvalidInput]:
        if key in objects:
            expected = (
                "a new name; change an existing workspace with `wagtailpoint workspace adjust`"
            )
            return Err(wrong_input("NAME", name, expected))
        return _parse_sets(sets, _parameter_types(objects, template)).map(
            lambda parameters: Edit(
                {key: {"template": template, "parameters": parameters}}, (), f"create {key}"
            )
        )

    return await change(session, edit, options)


@workspace.command()
@click.argument("name")
@_SETS
@click.option(
    "--unset", "unsets", multiple=True, help="Parameter to reset to its default; may be repeated."
)
@run_command
@with_change_options
async def adjust(
    session: Session,
    *,
    name: str,
    sets: tuple[str, ...],
    unsets: tuple[str, ...],
    options: ChangeOptions,
) -> Result[Report, CommandError]:
    """Change parameters of the workspace NAME; the others keep their values."""
    key = f"workspace/{name}"

    def edit(objects: Mapping[str, Any]) -> Result[Edit, InvalidInput]:
        mistakes: list[Mistake] = []
        if not check_reference(
            path="NAME", given=key, known=objects, what="a workspace", mistakes=mistakes
        ):
            return Err(InvalidInput(mistakes))
        source = objects[key]
        parsed = _parse_sets(sets, _parameter_types(objects, source["template"]))
        if isinstance(parsed, Err):
            return parsed
        parameters = source.get("parameters", {}) | parsed.ok_value
        kept = {field: value for field, value in parameters.items() if field not in unsets}
        message = f"adjust {key}: {', '.join([*sets, *(f'unset {item}' for item in unsets)])}"
        return Ok(Edit({key: source | {"parameters": kept}}, (), message))

    return await change(session, edit, options)


def _parameter_types(objects: Mapping[str, Any], template: str) -> dict[str, str]:
    """Return the type of each parameter.

    It is empty for an unknown template; the check of the whole configuration refuses that.
    """
    parameters = objects.get(f"template/{template}", {}).get("parameters", {})
    return {name: parameter["type"] for name, parameter in parameters.items()}


def _parse_sets(
    sets: Sequence[str], types: Mapping[str, str]
) -> Result[dict[str, Any], InvalidInput]:
    parameters: dict[str, Any] = {}
    mistakes = []
    for item in sets:
        name, equals, value = item.partition("=")
        if not equals or not name:
            mistakes.append(Mistake("--set", item, "PARAMETER=VALUE"))
            continue
        parameters[name] = value if types.get(name) == "string" else _parse_value(value)
    return Err(InvalidInput(mistakes)) if mistakes else Ok(parameters)


def _parse_value(value: str) -> Any:
    """Parse a value as JSON, or keep it as text if it is none.

    The check of the whole configuration refuses a value of the wrong type.
    """
    try:
        return json.loads(value)
    except (ValueError, RecursionError):
        return value
