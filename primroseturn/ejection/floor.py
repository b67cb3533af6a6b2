"""The floor: fraction of a service's live targets that stays in rotation.

All targets of a service have the same number of slots, so it is also the fraction of
the slots.
"""

from collections.abc import Collection


def keeps_floor(in_rotation: int, live_count: int, floor: float) -> bool:
    """Return whether enough targets are in rotation.

    Parameters
    ----------
    in_rotation, live_count
        Numbers of targets in rotation, and of all live targets.
    floor
        Fraction of the live targets that must stay in rotation.
    """
    return in_rotation >= floor * live_count - 1e-9


def targets_to_return(
    ejected_suspicions: dict[str, float], live: Collection[str], floor: float
) -> list[str]:
    """Return the least suspected ejected targets that the floor needs in rotation.

    `ejected_suspicions` has the suspicions by target.
    """
    ejected = sorted(
        (name for name in ejected_suspicions if name in live),
        key=lambda name: (ejected_suspicions[name], name),
    )
    returned = []
    in_rotation = len(live) - len(ejected)
    for name in ejected:
        if keeps_floor(in_rotation, len(live), floor):
            break
        returned.append(name)
        in_rotation += 1
    return returned
