"""Entry point of ``python -m wagtailpoint.daemon``."""

from wagtailpoint.daemon.main import main

main()
