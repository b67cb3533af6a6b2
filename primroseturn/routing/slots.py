"""This VM's use of a target's slots: optimistic sharing with shedding feedback.

A strict assignment would give each VM a fixed part of the slots (about 4 of one
service) and leave them idle when demand is skewed. Instead each VM starts with a
part of a target's slots, takes more while answers are good and halves its part
when the target sheds.

Source: additive increase, multiplicative decrease (Chiu and Jain, 1989).
"""

DECREASE = 0.5
DECREASE_GAP_S = 0.1
START_SHARE = 0.5


class SlotShare:
    """How many requests this VM may run at one target."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.limit = max(1.0, START_SHARE * slots)
        self.decreased_at = float("-inf")

    def resize(self, slots: int) -> None:
        """Take over a change of the target's slots."""
        if slots != self.slots:
            self.slots = slots
            self.limit = min(max(1.0, self.limit), slots)

    def allows(self, in_flight: int, ramp: float) -> bool:
        """Return whether one more request may run."""
        return in_flight < max(1.0, self.limit * ramp)

    def note_good(self, in_flight: int) -> None:
        """Take more if the present part is in use."""
        if in_flight + 1 >= self.limit:
            self.limit = min(float(self.slots), self.limit + 1.0 / self.limit)

    def note_shed(self, now: float) -> None:
        """Give up half of the part, once per burst of sheds."""
        if now - self.decreased_at >= DECREASE_GAP_S:
            self.limit = max(1.0, self.limit * DECREASE)
            self.decreased_at = now
