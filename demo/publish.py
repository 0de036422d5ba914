"""Sends a list of instances to the platform stand-in.

Usage: ``python demo/publish.py PLATFORM_URL FILE``.
"""

import pathlib
import sys
import urllib.request

TIMEOUT_S = 5


def main(url, file):
    """Send the content of the file.

    Parameters
    ----------
    url : str
        Base URL of the stand-in.
    file : str
        JSON file: ``{"instances": [...]}``.
    """
    body = pathlib.Path(file).read_bytes()
    request = urllib.request.Request(
        f"{url}/control/instances", data=body, method="PUT"
    )
    urllib.request.urlopen(request, timeout=TIMEOUT_S).read()


if __name__ == "__main__":
    main(*sys.argv[1:])
