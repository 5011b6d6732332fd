"""Reads the requests of one connection to a replica, one at a time, with h11."""

from http import HTTPStatus

import h11

from glenfold.net.sockets import SocketType
from glenfold.rules.replication_http import MAX_REQUEST_BYTES, RequestError

MAX_READ_BYTES = 4096


class RequestReader:
    """Reads requests from one socket.

    h11's state exists only while a request is being read, so that idle connections and watches use little
    memory.
    """

    def __init__(self, sock: SocketType) -> None:
        self._sock = sock
        self._ahead = b""  # bytes read after the end of the previous request

    async def next_request(self) -> h11.Request | None:
        """Returns the next request, or None if the child has disconnected.

        Raises RequestError if the input is not a valid request or the request has a body.
        """
        data = self._ahead or await self._sock.recv(MAX_READ_BYTES)
        if not data:
            return None
        self._ahead = b""
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES)
        connection.receive_data(data)
        request: h11.Request | None = None
        try:
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    if not (data := await self._sock.recv(MAX_READ_BYTES)):
                        return None
                    connection.receive_data(data)
                elif isinstance(event, h11.Request):
                    request = event
                elif isinstance(event, h11.EndOfMessage):
                    self._ahead = connection.trailing_data[0]
                    return request
                elif isinstance(event, h11.Data):
                    raise RequestError(HTTPStatus.BAD_REQUEST, "a request must not have a body")
                else:
                    return None
        except h11.RemoteProtocolError as error:
            raise RequestError(HTTPStatus.BAD_REQUEST, str(error)) from error
