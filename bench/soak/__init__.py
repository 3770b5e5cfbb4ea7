"""A randomised soak test: checks guarantees of real instances while external faults occur."""
