"""Events of detection, ejection and routing."""

from primroseturn.observation.catalogue import define_event

TARGET_EJECTED = define_event(
    600, "target-ejected", "A target was taken out of rotation."
)
TARGET_RETURNED = define_event(
    601, "target-returned", "A target came back into rotation."
)
EJECTION_HELD_BY_FLOOR = define_event(
    602, "ejection-held-by-floor", "The floor kept an unhealthy target in rotation."
)
PATH_SUSPECTED = define_event(
    603, "path-suspected", "The suspicion of this VM's own network path began or ended."
)
