"""Substitutes for candidates that state a limit or requested a backoff."""

from collections.abc import Callable, Sequence

from wagtailpoint.placement.ranking import Ranked


def promote_substitutes(
    ranked: Sequence[Ranked], is_substituted: Callable[[Ranked], bool]
) -> Sequence[Ranked]:
    """Give the next candidates the ranks of those that state a limit or requested a backoff.

    All instances know the limits, and those with a backoff skip the same candidates, so they
    agree on the substitutes, which soon have the objects cached.

    Args:
        ranked: The candidates by rank.
        is_substituted: Returns whether a candidate states a limit or requested a backoff.
    """
    unlimited = [option for option in ranked if not is_substituted(option)]
    if len(unlimited) in (0, len(ranked)):
        return ranked
    first = unlimited[0]
    near = next((option for option in unlimited if option.in_region), None)
    return [
        option._replace(
            rank=0 if option is first else option.rank,
            is_first_in_region=option.is_first_in_region or option is near,
        )
        for option in ranked
    ]
