"""Entry point of ``python -m peridotcove``."""

import gc
import signal
import sys


def _print_fault(fault):
    print(fault, file=sys.stderr)


def main():
    """Run the command named on the command line and exit with its exit code."""
    if sys.argv[1:] == ["node"]:
        # SIGHUP may arrive while the node is still being imported. It can be ignored,
        # because the settings are read after this point.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # Collections during the imports find nothing; `run_node` enables them.
        gc.disable()
        # The platform starts nodes with this command. It bypasses the command-line
        # library, whose import takes as long as that of all routing code, because
        # callers wait while a node restarts.
        from peridotcove.platform.early_ports import open_early_ports

        early_sockets = open_early_ports()
        from peridotcove.startup import run_from_settings

        sys.exit(run_from_settings("", _print_fault, early_sockets))
    from peridotcove.cli import make_application

    sys.exit(make_application().run())


if __name__ == "__main__":
    main()
