"""``python -m wagtailpoint.cli`` is the program ``wagtailpoint``."""

from wagtailpoint.cli.main import main

main()
