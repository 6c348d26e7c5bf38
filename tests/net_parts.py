"""Shared by the tests of the node's parts: a transport and a reactor in memory, arrays of clients."""

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

SECOND = 1_000_000
ID = b"00000000000000a1"
REQUEST = b"*5\r\n$3\r\nREQ\r\n$1\r\n7\r\n$4\r\nlook\r\n$36\r\ni=%s,s=1,f=1,m=9,p=0.5\r\n$1\r\nx\r\n"
CHECK = b"*3\r\n$6\r\nHEALTH\r\n$1\r\n9\r\n$0\r\n\r\n"


class Transport(StringTransport):
    """A string transport with the TCP transport's abort and half-close."""

    aborted = ended = False

    def loseWriteConnection(self):
        self.ended = True

    def setTcpNoDelay(self, on):
        pass

    def abortConnection(self):
        self.aborted = True


class Reactor(Clock):
    """Twisted's clock, and attempts to connect that the test completes itself."""

    def __init__(self):
        super().__init__()
        self.connects = []

    def connectTCP(self, host, port, factory, timeout):
        self.connects.append(factory)
        return self

    def stopConnecting(self):
        pass

    disconnect = stopConnecting


class Machine(Reactor):
    """A reactor whose listeners accept nothing."""

    def addReader(self, reader):
        pass

    removeReader = removeWriter = addWriter = addReader

    def listenUDP(self, port, protocol, interface):
        protocol.transport = Transport()
        protocol.transport.write = lambda datagram, address: None
        protocol.startProtocol()
        return self

    def stopListening(self):
        pass
