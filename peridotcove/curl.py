"""tornado's curl client, made to hold many streams at little cost."""

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.ioloop import IOLoop

FIRST_HANDLES = 16


class CurlClient(CurlAsyncHTTPClient):
    """The curl client with handles made on demand and a way to end one transfer.

    Parameters
    ----------
    max_transfers : int
        Most transfers at once; more wait their turn.
    """

    def initialize(self, max_transfers, **kwargs):
        """Set the client up.

        Parameters
        ----------
        max_transfers : int
            Most transfers at once.
        **kwargs : object
            Further options of tornado's client.
        """
        self._max_transfers = max_transfers
        first = min(FIRST_HANDLES, max_transfers)
        super().initialize(max_clients=first, **kwargs)

    def close(self):
        """Close every connection, and the timer that closing them may set."""
        super().close()
        if self._timeout is not None:
            self.io_loop.remove_timeout(self._timeout)

    def cancel(self, curl):
        """End a transfer and close its connection.

        Parameters
        ----------
        curl : pycurl.Curl
            Handle of the transfer; nothing happens if it has ended.
        """
        if self._multi is not None and getattr(curl, "info", None) is not None:
            self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "cancelled")
            self._process_queue()

    def _process_queue(self):
        missing = len(self._requests) - len(self._free_list)
        allowed = self._max_transfers - len(self._curls)
        for _ in range(min(missing, allowed)):
            curl = self._curl_create()
            self._curls.append(curl)
            self._free_list.append(curl)
        super()._process_queue()

    def _handle_events(self, fd, events):
        # One call per read of a stream: look for ended transfers only when libcurl
        # runs fewer than were begun.
        action = pycurl.CSELECT_IN if events & IOLoop.READ else 0
        if events & IOLoop.WRITE:
            action |= pycurl.CSELECT_OUT
        try:
            _, active = self._multi.socket_action(fd, action)
        except pycurl.error:
            active = None
        if active is None or active < len(self._curls) - len(self._free_list):
            self._finish_pending_requests()
