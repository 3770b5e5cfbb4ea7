"""Decisions on the health of backend servers, from evidence that ages."""

from wagtailpoint.health.board import HealthBoard
from wagtailpoint.health.evidence import Outcome, outcome_of
from wagtailpoint.health.server import State

__all__ = ["HealthBoard", "Outcome", "State", "outcome_of"]
