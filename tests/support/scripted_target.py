"""A plain target that answers over raw sockets, and misbehaves in one way."""

import socket
import struct
from dataclasses import dataclass, field
from enum import Enum

import gevent
from gevent.server import StreamServer

from tests.support.router_harness import HOST

IDLE_FAULT_S = 0.02
"""Time after an answer at which something comes over the idle connection."""

SILENCE_S = 20.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Fault(Enum):
    """What a target does after or instead of an answer on its first connection."""

    NONE = "does nothing wrong"
    CLOSES_IDLE = "closes the idle connection"
    RESETS_IDLE = "resets the idle connection"
    SECOND_ANSWER = "sends its answer again over the idle connection"
    SECOND_ANSWER_AT_ONCE = "sends its answer twice at once"
    SAYS_CLOSE = "answers with Connection: close"
    ALLOWS_NO_MORE = "answers with Keep-Alive: max=0"
    SHORT_KEEP_ALIVE = "answers with Keep-Alive: timeout=1"
    ENDS_WITH_CONNECTION = "answers without a length"
    HTTP_1_0 = "answers in HTTP/1.0"
    UNSIGNED_ERROR = "answers with an error"
    LATE_ANSWER = "answers the earlier request as the next one comes"
    LATE_REFUSAL = "refuses without naming a request as the next one comes"
    CLOSES_AT_NEXT = "closes as the next request comes"
    RESETS_AT_NEXT = "resets as the next request comes"
    SILENT_AT_NEXT = "falls silent as the next request comes"
    INTERIM = "sends an interim answer before each answer"


@dataclass
class Arrival:
    """One request that has arrived over the connection with a number."""

    connection: int
    request: str
    path: str


@dataclass
class ScriptedTarget:
    """A target whose first connection has a fault; later connections have none.

    With `is_faulty_always` every connection has it. Each answer takes `answer_s`.
    """

    name: str
    fault: Fault
    arrivals: list[Arrival] = field(default_factory=list)
    connections: int = 0
    is_faulty_always: bool = False
    answer_s: float = 0.0

    def __post_init__(self) -> None:
        self._server = StreamServer((HOST, 0), self._handle)
        self._server.start()

    @property
    def address(self) -> str:
        """Return the address, as an entry in the store has it."""
        return f"{HOST}:{self._server.server_port}"

    def stop(self) -> None:
        """Stop listening and close every connection."""
        self._server.stop()

    def _handle(self, connection: socket.socket, address: object) -> None:
        self.connections += 1
        number = self.connections
        is_faulty = number == 1 or self.is_faulty_always
        fault = self.fault if is_faulty else Fault.NONE
        earlier = ""
        while request := self._read(connection, number):
            if earlier and self._fail_next(connection, fault, earlier):
                break
            earlier = request
            if not self._answer(connection, fault, request):
                break
        connection.close()

    def _read(self, connection: socket.socket, number: int) -> str:
        """Return the ID of the next request, empty once the connection has ended."""
        data = b""
        while b"\r\n\r\n" not in data:
            try:
                piece = connection.recv(65_536)
            except OSError:
                return ""
            if not piece:
                return ""
            data += piece
        lines = data.decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        request = fields.get("attempt-id", "-")
        path = lines[0].split()[1]
        if request != "-":
            self.arrivals.append(Arrival(number, request, path))
        return request

    def _answer(self, connection: socket.socket, fault: Fault, request: str) -> bool:
        """Answer, and return whether the connection stays open."""
        gevent.sleep(self.answer_s)
        answer = self._build_answer(fault, request)
        is_twice = fault is Fault.SECOND_ANSWER_AT_ONCE
        connection.sendall(answer * 2 if is_twice else answer)
        match fault:
            case Fault.CLOSES_IDLE | Fault.RESETS_IDLE:
                gevent.sleep(IDLE_FAULT_S)
                if fault is Fault.RESETS_IDLE:
                    self._set_reset(connection)
                return False
            case Fault.SECOND_ANSWER:
                gevent.sleep(IDLE_FAULT_S)
                connection.sendall(answer)
            case Fault.SAYS_CLOSE | Fault.ENDS_WITH_CONNECTION | Fault.HTTP_1_0:
                return False
        return True

    @staticmethod
    def _build_answer(fault: Fault, request: str) -> bytes:
        body = f"answer to {request}"
        version = "HTTP/1.0" if fault is Fault.HTTP_1_0 else "HTTP/1.1"
        status = "422 No" if fault is Fault.UNSIGNED_ERROR else "200 OK"
        lines = [f"{version} {status}", f"Attempt-Id: {request}"]
        if fault is not Fault.UNSIGNED_ERROR:
            lines.append("Server-Signature: scripted")
        if fault is not Fault.ENDS_WITH_CONNECTION:
            lines.append(f"Content-Length: {len(body)}")
        extra = {
            Fault.SAYS_CLOSE: "Connection: close",
            Fault.ALLOWS_NO_MORE: "Keep-Alive: timeout=60, max=0",
            Fault.SHORT_KEEP_ALIVE: "Keep-Alive: timeout=1",
        }
        if fault in extra:
            lines.append(extra[fault])
        interim = "HTTP/1.1 100 Continue\r\n\r\n" * (fault is Fault.INTERIM)
        return (interim + "\r\n".join((*lines, "", body))).encode()

    def _fail_next(self, connection: socket.socket, fault: Fault, earlier: str) -> bool:
        """Do what the fault does as a later request has come; True ends it."""
        match fault:
            case Fault.LATE_ANSWER:
                connection.sendall(self._build_answer(Fault.NONE, earlier))
            case Fault.LATE_REFUSAL:
                head = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0"
                connection.sendall(head + b"\r\n\r\n")
            case Fault.CLOSES_AT_NEXT:
                return True
            case Fault.RESETS_AT_NEXT:
                self._set_reset(connection)
                return True
            case Fault.SILENT_AT_NEXT:
                gevent.sleep(SILENCE_S)
        return False

    @staticmethod
    def _set_reset(connection: socket.socket) -> None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
