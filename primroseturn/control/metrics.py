"""Metrics of control messages."""

from prometheus_client import Counter

FRAMES = Counter(
    "primroseturn_control_frames", "Control messages by direction.", ["direction"]
)
BYTES = Counter(
    "primroseturn_control_bytes", "Bytes of control messages.", ["direction"]
)
DROPPED = Counter(
    "primroseturn_control_dropped", "Dropped control messages.", ["reason"]
)
FRAMES_SENT, FRAMES_RECEIVED = FRAMES.labels("sent"), FRAMES.labels("received")
BYTES_SENT, BYTES_RECEIVED = BYTES.labels("sent"), BYTES.labels("received")
