"""Starts the command line."""

import sys

from peridotcove.cli import make_application


def main():
    """Run the command that the command line names and exit with its code."""
    sys.exit(make_application().run())


if __name__ == "__main__":
    main()
