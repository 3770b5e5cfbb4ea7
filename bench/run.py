"""The bench: `python -m bench.run short|full`. Each module in this folder measures one thing."""
