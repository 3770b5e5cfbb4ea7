"""Reads files of configuration objects: JSON objects whose fields are ``kind/name``."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from wagtailpoint.checking import parse_json, show
from wagtailpoint.errors import InvalidInput, Mistake


def read_objects(paths: Sequence[Path]) -> Result[dict[str, Any], InvalidInput]:
    """Read the objects of files and directories; of a directory, all its ``*.json`` files.

    Returns:
        The value of each object by ``kind/name``, unchecked, or every mistake found. An object
        that is in two files is a mistake, as either of them could be the intended one.
    """
    mistakes: list[Mistake] = []
    objects: dict[str, Any] = {}
    source_files: dict[str, Path] = {}
    for path in _list_files(paths, mistakes):
        for key, value in _read_file(path, mistakes).items():
            if key in objects:
                mistakes.append(
                    Mistake(
                        f"{path}: {key}",
                        "a second definition",
                        f"one definition; {source_files[key]} has another",
                    )
                )
            objects[key] = value
            source_files[key] = path
    return Err(InvalidInput(mistakes)) if mistakes else Ok(objects)


def _list_files(paths: Sequence[Path], mistakes: list[Mistake]) -> list[Path]:
    files = []
    for path in paths:
        directory_files = sorted(path.glob("*.json")) if path.is_dir() else [path]
        if not directory_files:
            mistakes.append(Mistake(str(path), "a directory without *.json files", "a *.json file"))
        files.extend(directory_files)
    return files


def _read_file(path: Path, mistakes: list[Mistake]) -> dict[str, Any]:
    expected = 'an object such as {"service/desk": {...}}'
    try:
        text = path.read_bytes()
    except OSError as error:
        mistakes.append(Mistake(str(path), error.strerror or str(error), "a readable file"))
        return {}
    match parse_json(text, path=str(path)):
        case Ok(dict() as objects):
            return objects
        case Ok(other):
            mistakes.append(Mistake(str(path), show(other), expected))
        case Err(invalid):
            mistakes.extend(invalid.mistakes)
    return {}
