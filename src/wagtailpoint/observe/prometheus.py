"""Metrics in the text format of Prometheus, version 0.0.4."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


class Sample(NamedTuple):
    """One value.

    Attributes:
        labels: What it is measured by.
        value: The value.
        suffix: Added to the family's name: ``_count`` and ``_sum`` of a summary.
    """

    labels: Mapping[str, str]
    value: float
    suffix: str = ""


class Family(NamedTuple):
    """All values of one name.

    Attributes:
        name: For example ``wagtailpoint_open_requests``.
        kind: ``counter``, ``gauge`` or ``summary``.
        about: One line for people, with the unit.
        samples: The values.
    """

    name: str
    kind: str
    about: str
    samples: Sequence[Sample]


def format_text(families: Iterable[Family]) -> bytes:
    """Write metrics as Prometheus reads them."""
    lines = []
    for family in families:
        lines.append(f"# HELP {family.name} {family.about}")
        lines.append(f"# TYPE {family.name} {family.kind}")
        lines += [_line(family.name, sample) for sample in family.samples]
    return "".join(f"{line}\n" for line in lines).encode()


def _line(name: str, sample: Sample) -> str:
    labels = ",".join(
        f'{key}="{value.translate(_ESCAPES)}"' for key, value in sample.labels.items()
    )
    shown = f"{{{labels}}}" if labels else ""
    return f"{name}{sample.suffix}{shown} {sample.value:.17g}"
