"""Metrics in the Prometheus text format, version 0.0.4."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


class Sample(NamedTuple):
    """One value of a metric family.

    Attributes:
        labels: The labels, by name.
        value: The value.
        suffix: Appended to the family's name; ``_count`` or ``_sum`` in a summary.
    """

    labels: Mapping[str, str]
    value: float
    suffix: str = ""


class Family(NamedTuple):
    """A metric family: all samples of one name.

    Attributes:
        name: The name, for example ``wagtailpoint_open_requests``.
        kind: ``counter``, ``gauge`` or ``summary``.
        about: The help text: one line that includes the unit.
        samples: The samples.
    """

    name: str
    kind: str
    about: str
    samples: Sequence[Sample]


def format_text(families: Iterable[Family]) -> bytes:
    """Encode metric families in the Prometheus text format."""
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
