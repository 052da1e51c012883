"""CurveZMQ keys of the fleet.

A key directory contains the fleet's key pair in the file `fleet.key_secret`. All
processes authenticate to each other with this pair. While keys are replaced, servers
also accept clients with the public keys in the subdirectory `accepted`.
"""

from dataclasses import dataclass
from pathlib import Path

import zmq
import zmq.auth
import zmq.green
from zmq.utils import z85

SECRET_FILE_NAME = "fleet.key_secret"
ACCEPTED_DIRECTORY_NAME = "accepted"
ZAP_ADDRESS = "inproc://zeromq.zap.01"
ZAP_VERSION = b"1.0"
ZAP_CLIENT_KEY_FRAME = 6


@dataclass(frozen=True)
class FleetKeys:
    """The fleet's key pair and the accepted public keys of clients, Z85-encoded."""

    public: bytes
    secret: bytes
    accepted: frozenset[bytes]


def create_keys(directory: Path) -> None:
    """Write a new key pair into a directory, creating the directory if needed."""
    directory.mkdir(parents=True, exist_ok=True)
    zmq.auth.create_certificates(directory, "fleet")


def read_keys(directory: str) -> FleetKeys | None:
    """Return the keys in a directory, or None if `directory` is empty.

    Raises OSError or ValueError if the key pair is missing or malformed.
    """
    if not directory:
        return None
    path = Path(directory)
    public, secret = zmq.auth.load_certificate(path / SECRET_FILE_NAME)
    if secret is None:
        raise ValueError(f"{SECRET_FILE_NAME} contains no secret key")
    accepted = {public}
    for key_path in (path / ACCEPTED_DIRECTORY_NAME).glob("*.key"):
        accepted.add(zmq.auth.load_certificate(key_path)[0])
    return FleetKeys(public, secret, frozenset(accepted))


def secure_server(socket: zmq.green.Socket, keys: FleetKeys) -> None:
    """Configure a server socket to require a client with an accepted key."""
    socket.curve_publickey = keys.public
    socket.curve_secretkey = keys.secret
    socket.curve_server = True
    socket.zap_domain = b"fleet"


def secure_client(socket: zmq.green.Socket, keys: FleetKeys) -> None:
    """Configure a client socket to prove the fleet's key and verify the server's."""
    socket.curve_publickey = keys.public
    socket.curve_secretkey = keys.secret
    socket.curve_serverkey = keys.public


def serve_zap_requests(socket: zmq.green.Socket, keys: FleetKeys) -> None:
    """Answer libzmq's authentication requests (ZAP, RFC 27) until killed."""
    while True:
        frames = socket.recv_multipart()
        is_accepted = False
        if len(frames) > ZAP_CLIENT_KEY_FRAME:
            is_accepted = z85.encode(frames[ZAP_CLIENT_KEY_FRAME]) in keys.accepted
        status = (b"200", b"OK") if is_accepted else (b"400", b"unknown key")
        socket.send_multipart([ZAP_VERSION, frames[1], *status, b"", b""])
