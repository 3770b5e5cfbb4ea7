"""Compiles the objects that operators write into the configuration that instances enforce.

The function is pure: every instance and the command-line tool get the same result for the same
objects, so no instance rejects what the tool has accepted.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

from result import Err, Ok, Result

from wagtailpoint.checking import ObjectReader, check_name, check_reference, describe_choices, show
from wagtailpoint.config.blocks import BlockList, BlockReader, RegionBlocks
from wagtailpoint.config.model import (
    Drain,
    EffectiveConfig,
    Move,
    Region,
    Service,
    Workspace,
)
from wagtailpoint.config.objects import (
    KINDS,
    WorkspaceSource,
    read_drain,
    read_move,
    read_region,
    read_service,
    read_workspace,
    read_workspace_source,
)
from wagtailpoint.config.templates import Template, expand_template, read_template
from wagtailpoint.errors import InvalidInput, Mistake
from wagtailpoint.ports.backend import BackendAddress

_T = TypeVar("_T")


class _ParsedObjects(NamedTuple):
    """The objects, each checked on its own; references between them are not checked yet."""

    regions: dict[str, Region]
    services: dict[str, Service]
    templates: dict[str, Template]
    sources: dict[str, WorkspaceSource]
    moves: dict[str, Move]
    drains: dict[str, Drain]
    blocks: BlockList
    block_parts: Mapping[str, RegionBlocks]

    @property
    def failure_domains(self) -> list[str]:
        """The failure domains of all regions."""
        return [domain for region in self.regions.values() for domain in region.failure_domains]


def compile_config(
    *, version: int, objects: Mapping[str, Any], block_reader: BlockReader | None = None
) -> Result[EffectiveConfig, InvalidInput]:
    """Compile the effective configuration.

    Args:
        version: The version of the configuration that the objects belong to.
        objects: The JSON value of each object, by ``kind/name``.
        block_reader: A reader reused between configurations, which skips unchanged client blocks;
            it doesn't affect the result.

    Returns:
        The configuration, or every mistake found, each with the object, the field, the value given
        and the value expected.
    """
    mistakes: list[Mistake] = []
    parsed = _parse_objects(objects, block_reader or BlockReader(), mistakes)
    _check_regions(parsed, mistakes)
    _check_services(parsed, mistakes)
    workspaces = _expand_workspaces(parsed, mistakes)
    _check_moves(parsed, workspaces, mistakes)
    _check_drains(parsed, mistakes)
    _check_blocks(parsed, mistakes)
    if mistakes:
        return Err(InvalidInput(mistakes))
    config = EffectiveConfig(
        version=version,
        regions=parsed.regions,
        services=parsed.services,
        workspaces=workspaces,
        moves=parsed.moves,
        drains=parsed.drains,
        client_blocks=parsed.blocks,
    )
    return Ok(config)


def _parse_objects(
    objects: Mapping[str, Any], block_reader: BlockReader, mistakes: list[Mistake]
) -> _ParsedObjects:
    by_kind: dict[str, dict[str, Any]] = {kind: {} for kind in KINDS}
    for key in sorted(objects):
        kind, _, name = key.partition("/")
        if check_reference(
            path=key, given=kind or "/", known=KINDS, what="a kind", mistakes=mistakes
        ):
            check_name(path=key, given=name, mistakes=mistakes)
            by_kind[kind][name] = objects[key]

    def read(kind: str, read_object: Callable[[str, ObjectReader], _T]) -> dict[str, _T]:
        return {
            name: read_object(
                name, ObjectReader(value=value, path=f"{kind}/{name}: ", mistakes=mistakes)
            )
            for name, value in by_kind[kind].items()
        }

    return _ParsedObjects(
        regions=read("region", read_region),
        services=read("service", read_service),
        templates=read("template", lambda name, reader: read_template(name, reader, mistakes)),
        sources=read("workspace", read_workspace_source),
        moves=read("move", read_move),
        drains=read("drain", read_drain),
        blocks=block_reader.read(by_kind["blocks"], mistakes),
        block_parts=block_reader.parts,
    )


def _check_regions(parsed: _ParsedObjects, mistakes: list[Mistake]) -> None:
    owners: dict[str, str] = {}
    for region in parsed.regions.values():
        path = f"region/{region.name}: "
        for index, domain in enumerate(region.failure_domains):
            field_path = f"{path}failure_domains[{index}]"
            check_name(path=field_path, given=domain, mistakes=mistakes)
            if domain in owners:
                expected = f"a unique name; region/{owners[domain]} uses it too"
                mistakes.append(Mistake(field_path, show(domain), expected))
            owners[domain] = region.name
        others = set(parsed.regions) - {region.name}
        for other in region.latency_ms:
            check_reference(
                path=f"{path}latency_ms.{other}",
                given=other,
                known=others,
                what="another region",
                mistakes=mistakes,
            )
        for other in sorted(others - set(region.latency_ms)):
            expected = f"a number (milliseconds, one way, to region/{other})"
            mistakes.append(Mistake(f"{path}latency_ms.{other}", "nothing", expected))


def _check_services(parsed: _ParsedObjects, mistakes: list[Mistake]) -> None:
    owners: dict[BackendAddress, str] = {}
    for service in parsed.services.values():
        for group, servers in service.groups.items():
            for index, server in enumerate(servers):
                field_path = f"service/{service.name}: groups.{group}[{index}]"
                check_reference(
                    path=f"{field_path}.failure_domain",
                    given=server.failure_domain,
                    known=parsed.failure_domains,
                    what="a failure domain of a region",
                    mistakes=mistakes,
                )
                if server.address in owners:
                    # Its slots would be allocated twice, independently of each other.
                    expected = (
                        f"an address and port of its own; {owners[server.address]} has it too"
                    )
                    mistakes.append(Mistake(field_path, str(server.address), expected))
                elif server.address.address and server.address.port:
                    owners[server.address] = field_path


def _expand_workspaces(parsed: _ParsedObjects, mistakes: list[Mistake]) -> dict[str, Workspace]:
    workspaces = {}
    for source in parsed.sources.values():
        path = f"workspace/{source.name}: "
        template = parsed.templates.get(source.template)
        if template is None:
            check_reference(
                path=f"{path}template",
                given=source.template,
                known=parsed.templates,
                what="a template",
                mistakes=mistakes,
            )
            continue
        found_mistakes: list[Mistake] = []
        body = expand_template(
            template, source.parameters, path=f"{path}parameters", mistakes=found_mistakes
        )
        if not found_mistakes:
            reader = ObjectReader(value=body, path=path, mistakes=found_mistakes)
            workspace = read_workspace(source.name, template.name, reader)
            _check_workspace(workspace, parsed, found_mistakes)
            workspaces[source.name] = workspace
            # The path names the workspace, but the field is in the template.
            origin = f" (written in template/{template.name})"
            found_mistakes = [
                item._replace(expected=item.expected + origin) for item in found_mistakes
            ]
        mistakes.extend(found_mistakes)
    return workspaces


def _check_workspace(workspace: Workspace, parsed: _ParsedObjects, mistakes: list[Mistake]) -> None:
    path = f"workspace/{workspace.name}: "
    for index, route in enumerate(workspace.routes):
        field_path = f"{path}routes[{index}]"
        if not check_reference(
            path=f"{field_path}.service",
            given=route.service,
            known=parsed.services,
            what="a service",
            mistakes=mistakes,
        ):
            continue
        check_reference(
            path=f"{field_path}.class",
            given=route.request_class,
            known=parsed.services[route.service].classes,
            what=f"a class of service/{route.service}",
            mistakes=mistakes,
        )
        if route.service not in workspace.groups:
            expected = f"a group, {describe_choices(parsed.services[route.service].groups)}"
            mistakes.append(Mistake(f"{path}groups.{route.service}", "nothing", expected))
    for name, group in workspace.groups.items():
        field_path = f"{path}groups.{name}"
        if check_reference(
            path=field_path, given=name, known=parsed.services, what="a service", mistakes=mistakes
        ):
            check_reference(
                path=field_path,
                given=group,
                known=parsed.services[name].groups,
                what=f"a group of service/{name}",
                mistakes=mistakes,
            )


def _check_moves(
    parsed: _ParsedObjects, workspaces: Mapping[str, Workspace], mistakes: list[Mistake]
) -> None:
    first_moves: dict[tuple[str, str], str] = {}
    for move in parsed.moves.values():
        path = f"move/{move.name}: "
        subject = (move.workspace, move.service)
        if all(subject) and first_moves.setdefault(subject, move.name) != move.name:
            given = show(f"{move.workspace}, {move.service}")
            expected = f"one move per workspace and service; move/{first_moves[subject]} has both"
            mistakes.append(Mistake(f"{path}workspace", given, expected))
        check_reference(
            path=f"{path}workspace",
            given=move.workspace,
            known=parsed.sources,
            what="a workspace",
            mistakes=mistakes,
        )
        if check_reference(
            path=f"{path}service",
            given=move.service,
            known=parsed.services,
            what="a service",
            mistakes=mistakes,
        ):
            _check_move_groups(move, parsed.services[move.service], workspaces, mistakes)


def _check_move_groups(
    move: Move, service: Service, workspaces: Mapping[str, Workspace], mistakes: list[Mistake]
) -> None:
    path = f"move/{move.name}: "
    for field, group in (("from_group", move.from_group), ("to_group", move.to_group)):
        check_reference(
            path=path + field,
            given=group,
            known=service.groups,
            what=f"a group of service/{service.name}",
            mistakes=mistakes,
        )
    workspace = workspaces.get(move.workspace)
    if workspace is None:
        return
    current = workspace.groups.get(service.name)
    if current is None:
        expected = f"a service that workspace/{workspace.name} uses"
        expected += f", {describe_choices(workspace.groups)}"
        mistakes.append(Mistake(f"{path}service", show(service.name), expected))
    elif current not in (move.from_group, move.to_group):
        # The workspace may already name to_group: a move is completed by writing to_group into the
        # workspace and then deleting the move.
        expected = f"{show(current)}, the group that serves workspace/{workspace.name} now"
        mistakes.append(Mistake(f"{path}from_group", show(move.from_group), expected))


def _check_drains(parsed: _ParsedObjects, mistakes: list[Mistake]) -> None:
    servers = {
        str(server.address)
        for service in parsed.services.values()
        for group in service.groups.values()
        for server in group
    }
    for drain in parsed.drains.values():
        path = f"drain/{drain.name}: "
        if drain.backend_server is not None and str(drain.backend_server) not in servers:
            expected = "the address and port of a backend server of a service"
            given = str(drain.backend_server)
            mistakes.append(Mistake(f"{path}backend_server", given, expected))
        if drain.failure_domain is not None:
            check_reference(
                path=f"{path}failure_domain",
                given=drain.failure_domain,
                known=parsed.failure_domains,
                what="a failure domain of a region",
                mistakes=mistakes,
            )


def _check_blocks(parsed: _ParsedObjects, mistakes: list[Mistake]) -> None:
    for name, part in parsed.block_parts.items():
        check_reference(
            path=f"blocks/{name}: region",
            given=part.region,
            known=parsed.regions,
            what="a region",
            mistakes=mistakes,
        )
