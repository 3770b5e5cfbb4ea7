"""Health of backend servers, derived from evidence that loses weight with age."""

from wagtailpoint.health.board import HealthBoard
from wagtailpoint.health.evidence import Outcome, outcome_of
from wagtailpoint.health.server import State

__all__ = ["HealthBoard", "Outcome", "State", "outcome_of"]
