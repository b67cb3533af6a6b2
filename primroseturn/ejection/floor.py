"""The floor: fraction of a service's slots that ejections leave in rotation."""

from collections.abc import Collection


def keeps_floor(in_rotation: int, listed: int, floor: float) -> bool:
    """Return whether enough slots are in rotation.

    Parameters
    ----------
    in_rotation, listed
        Slots of the targets in rotation, and of all live listed targets.
    floor
        Fraction of the listed slots that must stay in rotation.
    """
    return in_rotation >= floor * listed - 1e-9


def targets_to_return(
    ejected_scores: dict[str, float], live: Collection[str], floor: float
) -> list[str]:
    """Return the least unhealthy ejected targets that must return for the floor.

    `ejected_scores` has the scores by target; a lower score is less unhealthy.
    """
    ejected = sorted(
        (name for name in ejected_scores if name in live),
        key=lambda name: (ejected_scores[name], name),
    )
    returned = []
    in_rotation = len(live) - len(ejected)
    for name in ejected:
        if keeps_floor(in_rotation, len(live), floor):
            break
        returned.append(name)
        in_rotation += 1
    return returned
