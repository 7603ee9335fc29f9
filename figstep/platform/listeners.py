"""Listening socket for callers, opened before the program's libraries are loaded.

Loading the libraries takes a third of a second, in which a process that replaces a
killed one would refuse connections. With the socket open, connections wait in its queue
and are served as soon as the program runs. For the same reason this module imports only
modules of the standard library that load quickly.
"""

import os
import socket
import tomllib

PATH_VARIABLE = "FIGSTEP_CONFIG"
"""Environment variable that holds the path of the settings file."""

BACKLOG = 512
"""Maximum number of connections that wait to be accepted."""


def open_caller_listener() -> socket.socket | None:
    """Return a socket that listens at the callers' address in the settings file.

    Returns:
        The socket; None if the settings cannot be read, name no address, or the
        address cannot be used. The program then reports the error when it loads the
        settings or opens the listener itself.
    """
    try:
        with open(os.environ.get(PATH_VARIABLE, ""), "rb") as file:
            front = tomllib.load(file)["listen"]["front"]
        host, _, port = front.rpartition(":")
        return listen(host, int(port))
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None


def listen(host: str, port: int) -> socket.socket:
    """Return a non-blocking socket that listens at an address.

    Raises:
        OSError: If the address is in use or does not belong to this machine.
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
