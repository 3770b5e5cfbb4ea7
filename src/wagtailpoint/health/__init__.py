"""The health of backend servers, from evidence that ages."""
