"""Base of the tests of the stand-ins."""

import json
import unittest

import tornado.httpclient
import tornado.simple_httpclient


class StandinCase(unittest.IsolatedAsyncioTestCase):
    """Starts a stand-in for each test."""

    def make_standin(self):
        raise NotImplementedError

    async def asyncSetUp(self):
        self.standin = self.make_standin()
        self.standin.start()
        self.http = tornado.simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
        self.addAsyncCleanup(self.standin.close)
        self.addCleanup(self.http.close)

    async def call(self, path, body=None, method=None, **extra):
        raw = None if body is None else json.dumps(body)
        method = method or ("GET" if body is None else "POST")
        url = self.standin.url + path
        try:
            return await self.http.fetch(
                url, method=method, body=raw, raise_error=False, **extra
            )
        except tornado.httpclient.HTTPError as error:
            return error

    async def get_json(self, path):
        return json.loads((await self.call(path)).body)
