"""Evidence about the health of targets, and failure detectors."""

# Importing a detector module registers its detector.
from primroseturn.detection import consecutive, cusum, outlier, phi

__all__ = ["consecutive", "cusum", "outlier", "phi"]
