"""The messages about moves between instances."""

from typing import NamedTuple

from wagtailpoint.moves.evidence import Evidence
from wagtailpoint.moves.progress import MoveProgress
from wagtailpoint.ports.peers import register_message
from wagtailpoint.revision import Revision


class MoveNews(NamedTuple):
    """The progress of all moves as the sender knows it."""

    progresses: tuple[MoveProgress, ...]


class MoveReport(NamedTuple):
    """An instance's recent evidence on a move, sent to the move's writer.

    Attributes:
        move: The name of the move.
        version: The version of the progress under which the evidence was collected.
        evidence: The evidence.
    """

    move: str
    version: Revision
    evidence: Evidence


register_message("move-news-by-revision", MoveNews)
register_message("move-report-by-revision", MoveReport)
