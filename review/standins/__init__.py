"""Stand-ins of the second review: store, workers, clients and a deployment of instances."""
