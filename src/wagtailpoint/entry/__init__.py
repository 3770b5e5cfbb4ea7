"""The entry: takes a caller's request, admits it, forwards it and returns the answer."""
