"""Entry point of ``python -m wagtailpoint.daemon``."""

import gc

# Imports create many objects and no garbage, so that collections during them find nothing.
# `main` enables the collector again.
gc.disable()

from wagtailpoint.daemon.main import main  # noqa: E402 - imported with the collector disabled

main()
