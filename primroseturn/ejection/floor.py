"""The floor: fraction of a service's live targets that stays in rotation.

All targets of a service have the same number of slots, so it is also the fraction of
the slots.
"""

from collections.abc import Collection


def keeps_floor(in_rotation: int, listed: int, floor: float) -> bool:
    """Return whether enough targets are in rotation.

    Parameters
    ----------
    in_rotation, listed
        Numbers of targets in rotation, and of all live listed targets.
    floor
        Fraction of the live listed targets that must stay in rotation.
    """
    return in_rotation >= floor * listed - 1e-9


def targets_to_readmit(
    ejected_suspicions: dict[str, float], live: Collection[str], floor: float
) -> list[str]:
    """Return the least suspected ejected targets that the floor needs in rotation.

    `ejected_suspicions` has the suspicions by target.
    """
    ejected = sorted(
        (name for name in ejected_suspicions if name in live),
        key=lambda name: (ejected_suspicions[name], name),
    )
    readmitted = []
    in_rotation = len(live) - len(ejected)
    for name in ejected:
        if keeps_floor(in_rotation, len(live), floor):
            break
        readmitted.append(name)
        in_rotation += 1
    return readmitted
