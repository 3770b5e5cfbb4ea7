"""What operators see: log lines, metrics, and the time line of all processes with its clock."""
