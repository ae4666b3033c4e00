"""`python -m harriertrack`."""

from harriertrack.cli.main import main

main()
