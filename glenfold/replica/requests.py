"""Requests of one connection to a replica, read with h11 one after the other."""

from http import HTTPStatus

import h11

from glenfold.net.sockets import SocketType
from glenfold.rules.replication_http import MAX_REQUEST_BYTES, RequestError

READ_BYTES = 4096


class RequestReader:
    """h11's state is there only while a request is being read, so that idle connections and watches are
    small."""

    def __init__(self, sock: SocketType) -> None:
        self._sock = sock
        self._ahead = b""  # read behind the request before

    async def next(self) -> h11.Request | None:
        """None: the child has gone. Raises RequestError for what is no request, or one with a body."""
        data = self._ahead or await self._sock.recv(READ_BYTES)
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
                    if not (data := await self._sock.recv(READ_BYTES)):
                        return None
                    connection.receive_data(data)
                elif isinstance(event, h11.Request):
                    request = event
                elif isinstance(event, h11.EndOfMessage):
                    self._ahead = connection.trailing_data[0]
                    return request
                elif isinstance(event, h11.Data):
                    raise RequestError(HTTPStatus.BAD_REQUEST, "a request with a body")
                else:
                    return None
        except h11.RemoteProtocolError as error:
            raise RequestError(HTTPStatus.BAD_REQUEST, str(error)) from error
