"""The messages of moves between instances."""

from typing import NamedTuple

from wagtailpoint.moves.evidence import Evidence
from wagtailpoint.moves.progress import MoveProgress
from wagtailpoint.ports.peers import register_message


class MoveNews(NamedTuple):
    """The progress of moves, as the sender knows it."""

    progresses: tuple[MoveProgress, ...]


class MoveReport(NamedTuple):
    """What an instance saw of a move of late; goes to the move's writer.

    Attributes:
        move: The move's name.
        version: The progress under which it was seen.
        evidence: What was seen.
    """

    move: str
    version: int
    evidence: Evidence


register_message("move-news", MoveNews)
register_message("move-report", MoveReport)
