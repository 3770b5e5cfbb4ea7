"""What operators see: the time line of events over all processes, and its clock."""
