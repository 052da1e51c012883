"""The body of a request to the WSGI server of the project."""

from gevent.pywsgi import Input


class UndrainedInput(Input):
    """A request body whose unread rest isn't read after the response was sent.

    gevent's class would read it to the end to reuse the connection.
    """

    has_unread_bytes = False

    def _discard(self) -> None:
        unread_bytes = (self.content_length or 0) - self.position
        is_chunk_left = self.chunked_input and self.chunk_length != 0
        self.has_unread_bytes = unread_bytes > 0 or is_chunk_left
