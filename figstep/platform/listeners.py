"""Callers' listening socket, open before the program's libraries are loaded.

Loading them takes a third of a second. A process that is started again in place
of one that was killed would refuse its callers for that long; with the socket open
their connections wait in its queue and are served as soon as the program runs.
Only the standard library's quickest modules are imported here for the same reason.
"""

import os
import socket
import tomllib

PATH_VARIABLE = "FIGSTEP_CONFIG"

BACKLOG = 512
"""Connections that may wait to be accepted."""


def open_caller_listener() -> socket.socket | None:
    """Return a socket that listens where the settings file says, or None.

    Settings that can't be read or name no address are reported, with what to
    mend, by whoever validates the whole file a moment later.
    """
    try:
        with open(os.environ.get(PATH_VARIABLE, ""), "rb") as file:
            front = tomllib.load(file)["listen"]["front"]
        host, _, port = front.rpartition(":")
        return listen(host, int(port))
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None


def listen(host: str, port: int) -> socket.socket:
    """Return a socket that listens at an address.

    Raises:
        OSError: If the address is in use or not this machine's.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
