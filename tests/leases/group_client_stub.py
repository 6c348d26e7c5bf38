"""A client of the consensus group that records requests and leaves the replies to the test."""

from twisted.internet.defer import Deferred


class GroupClientStub:
    """Records each request as (method, part, content, timeout), and the deferred returned for it."""

    def __init__(self):
        self.requests = []
        self.replies = []

    def propose(self, part, command, timeout):
        return self.record("propose", part, command, timeout)

    def read(self, part, query, timeout):
        return self.record("read", part, query, timeout)

    def record(self, *request):
        self.requests.append(request)
        reply = Deferred()
        self.replies.append(reply)
        return reply


class LogStub:
    """Records the logged events."""

    def __init__(self):
        self.events = []

    def info(self, event, **fields):
        self.events.append(event)

    warning = info
