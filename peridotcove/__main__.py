"""Starts the command line."""

import signal
import sys


def main():
    """Run the command that the command line names and exit with its code."""
    if sys.argv[1:] == ["node"]:
        # A change of the settings may be announced before the node has been imported;
        # its settings are read after this, so the announcement is needless.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # As the machines' platform starts it. Callers wait for a node that comes back,
        # and the library of the command line takes as long to import as all decisions.
        from peridotcove.startup import start_node

        sys.exit(start_node("", lambda fault: print(fault, file=sys.stderr)))
    from peridotcove.cli import make_application

    sys.exit(make_application().run())


if __name__ == "__main__":
    main()
