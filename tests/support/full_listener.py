"""A listener whose queue is full, so that it answers no connect, as a dark host."""

import gevent
import gevent.socket
from behave.runner import Context

from chervilstall.settings.option import Address

HOST = "127.0.0.1"
FILLING_CONNECTS = 2
BETWEEN_CONNECTS_S = 0.005


def open_full_listener(context: Context) -> Address:
    """Return the address of a listener that is closed at the end of the scenario."""
    listener = gevent.socket.socket()
    context.add_cleanup(listener.close)
    listener.bind((HOST, 0))
    listener.listen(0)
    address = listener.getsockname()
    for _ in range(FILLING_CONNECTS):
        filling = gevent.socket.socket()
        context.add_cleanup(filling.close)
        filling.setblocking(False)
        filling.connect_ex(address)
        gevent.sleep(BETWEEN_CONNECTS_S)
    return Address(HOST, address[1])
