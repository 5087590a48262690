"""An independent review: cases that show faults, and the stand-ins that they use."""
