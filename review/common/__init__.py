"""What the cases share: stand-ins, the deployment, and the record."""
