"""The ZeroMQ sockets between nodes; owned by the distribution task alone."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

import zmq
from result import Err, Ok, Result

from wagtaildale.distribution.authentication import ZapAuthenticator
from wagtaildale.errors.codes import Code
from wagtaildale.errors.faults import Fault
from wagtaildale.types import InstanceId

if TYPE_CHECKING:
    from wagtaildale.keys.pairs import KeyPair
    from wagtaildale.timers.inbox import Inbox

MAX_PEERS: Final = 64
MAX_QUEUED_MESSAGES: Final = 64
MAX_UNANSWERED_MESSAGES: Final = 2
RECONNECT_MS: Final = 200
# A peer that was cut off is back this soon after the cut is mended.
MAX_RECONNECT_MS: Final = 1000
CONNECT_TIMEOUT_MS: Final = 1000
# As long as a version may take to be in force everywhere (two seconds on the
# users' platform); a line that carries a large answer is quiet for less.
HEARTBEAT_MS: Final = 1000
HEARTBEAT_TIMEOUT_MS: Final = 2000
MILLISECONDS: Final = 1000


class ReceivedFrame:
    """One frame that has come, and by which way an answer goes back."""

    __slots__ = ('frame', 'route')

    def __init__(self, frame: bytes, route: bytes | str) -> None:
        """Keep frame and way.

        Args:
            frame: the message.
            route: the sender's identity at the listening socket, or the
                address that this node has opened a socket to.
        """
        self.frame = frame
        self.route = route


class Peer:
    """A socket to one peer.

    Attributes:
        socket: connected.
        key: which of the fleet's keys the peer is taken to have.
    """

    def __init__(
        self,
        socket: zmq.Socket[bytes],
        *,
        address: str,
        key: int,
    ) -> None:
        """Take a connected socket.

        Args:
            socket: a DEALER.
            address: that it is connected to.
            key: number of the key that it was opened with.
        """
        self.socket = socket
        self._address = address
        self.key = key
        self._unanswered = 0

    def send(self, frame: bytes) -> None:
        """Send a message.

        Args:
            frame: the message.

        Raises:
            ZMQError: when the queue to the peer is full.
        """
        self._unanswered += 1
        self.socket.send(frame, zmq.NOBLOCK)

    def seems_refused(self, keys: int) -> bool:
        """Tell whether to try the peer with another key.

        While a key is rotated, some peers have the old one and some the
        new one; nothing but silence tells which.

        Args:
            keys: how many the fleet has.

        Returns:
            Whether several messages in a row had no answer.
        """
        return keys > 1 and self._unanswered > MAX_UNANSWERED_MESSAGES

    def drain(self) -> list[ReceivedFrame]:
        """Take every message that has come.

        Returns:
            Oldest first.
        """
        received_frames: list[ReceivedFrame] = []
        while self.socket.poll(0):
            self._unanswered = 0
            received_frames.append(
                ReceivedFrame(self.socket.recv(), self._address)
            )
        return received_frames


class NodeSockets:
    """One listening socket, and one to each of a bounded set of peers.

    An answer goes back by the connection on which the question came, so
    two nodes need one connection between them, and a node that is not yet
    in anybody's list can be answered.
    """

    def __init__(self, keys: tuple[KeyPair, ...] = ()) -> None:
        """Open nothing yet.

        Args:
            keys: of the fleet, this node's own first; none for connections
                that are neither encrypted nor checked.
        """
        self.sent_bytes = 0
        self.received_bytes = 0
        self._keys = keys
        self._context = zmq.Context(io_threads=1)
        self._listener: zmq.Socket[bytes] | None = None
        self._poller = zmq.Poller()
        self._authenticator: ZapAuthenticator | None = None
        self._peers: OrderedDict[str, Peer] = OrderedDict()
        self._routes: OrderedDict[InstanceId, bytes | str] = OrderedDict()

    def bind(self, address: str) -> Result[None, Fault]:
        """Listen for other nodes.

        The library starts its threads with the first socket. That is left
        until everything is imported: an import beside running threads has
        crashed on the users' platform (docs/design/concurrency.md).

        Args:
            address: as ZeroMQ writes it.

        Returns:
            Nothing, or the fault.
        """
        listener = self._open_listener()
        try:
            listener.bind(address)
        except zmq.ZMQError as error:
            fault = Fault(
                code=Code.address_in_use,
                where=address,
                got=str(error),
                expected='an address that is free',
            )
            return Err(fault)
        self._poller.register(listener, zmq.POLLIN)
        return Ok(None)

    def watch_inbox(self, inbox: Inbox[object]) -> None:
        """Let a message in an inbox end the wait too.

        Args:
            inbox: of the task that owns these sockets.
        """
        self._poller.register(inbox.fileno(), zmq.POLLIN)

    def wait(self, seconds: float) -> list[ReceivedFrame]:
        """Wait for messages.

        Args:
            seconds: at most.

        Returns:
            What has come; none if the time is up or an inbox woke it.
        """
        ready = dict(self._poller.poll(round(seconds * MILLISECONDS)))
        received_frames: list[ReceivedFrame] = []
        if self._authenticator is not None:
            self._authenticator.answer()
        if self._listener is not None and self._listener in ready:
            received_frames.extend(self._drain_listener(self._listener))
        for peer in tuple(self._peers.values()):
            if peer.socket in ready:
                received_frames.extend(peer.drain())
        self.received_bytes += sum(len(each.frame) for each in received_frames)
        return received_frames

    def note_route(self, instance: InstanceId, route: bytes | str) -> None:
        """Remember by which connection an instance can be answered.

        Failure guarded here: a new node starts while the platform is away.
        A seed tells it what there is, and it cannot ask for that: it has no
        list yet that names the seed's address. It asks by the way on which
        the seed spoke.

        Args:
            instance: who sent a message.
            route: by which way, as its ``ReceivedFrame`` says.
        """
        self._routes[instance] = route
        self._routes.move_to_end(instance)
        if len(self._routes) > MAX_PEERS * 4:
            self._routes.popitem(last=False)

    def answer(self, instance: InstanceId, frame: bytes) -> bool:
        """Send by the connection on which an instance last spoke.

        Args:
            instance: the receiver.
            frame: the message.

        Returns:
            Whether there was such a connection.
        """
        route = self._routes.get(instance)
        if isinstance(route, str):
            return self.send(route, frame)
        if route is None or self._listener is None:
            return False
        try:
            self._listener.send_multipart((route, frame), zmq.NOBLOCK)
        except zmq.ZMQError:
            self._routes.pop(instance)
            return False
        self.sent_bytes += len(frame)
        return True

    def send(self, address: str, frame: bytes) -> bool:
        """Send to an address, over a connection that is opened if need be.

        Args:
            address: as ZeroMQ writes it.
            frame: the message.

        Returns:
            Whether it was taken; a queue that is full takes nothing more.
        """
        peer = self._peers.get(address) or self._open(address, 0)
        if peer.seems_refused(len(self._keys)):
            self._close(address)
            peer = self._open(address, peer.key + 1)
        self._peers.move_to_end(address)
        try:
            peer.send(frame)
        except zmq.ZMQError:
            return False
        self.sent_bytes += len(frame)
        return True

    def close(self) -> None:
        """Close everything; what is still queued gets a moment to leave."""
        for peer in self._peers.values():
            peer.socket.close()
        if self._authenticator is not None:
            self._authenticator.close()
        if self._listener is not None:
            self._listener.close()
        self._context.term()

    @property
    def refused_peers(self) -> int:
        """How many connections were refused for want of a key."""
        return self._authenticator.refused if self._authenticator else 0

    def _open(self, address: str, key: int) -> Peer:
        if len(self._peers) >= MAX_PEERS:
            self._close(next(iter(self._peers)))
        socket = self._context.socket(zmq.DEALER)
        _set_options(socket)
        number = key % max(1, len(self._keys))
        if self._keys:
            socket.curve_serverkey = self._keys[number].public
            socket.curve_secretkey = self._keys[0].secret
            socket.curve_publickey = self._keys[0].public
        socket.connect(address)
        self._poller.register(socket, zmq.POLLIN)
        self._peers[address] = Peer(socket, address=address, key=number)
        return self._peers[address]

    def _close(self, address: str) -> None:
        peer = self._peers.pop(address)
        self._poller.unregister(peer.socket)
        peer.socket.close()

    def _open_listener(self) -> zmq.Socket[bytes]:
        listener = self._context.socket(zmq.ROUTER)
        _set_options(listener)
        if self._keys:
            self._authenticator = ZapAuthenticator(
                self._context, accepted=self._keys
            )
            self._poller.register(self._authenticator.socket, zmq.POLLIN)
            listener.curve_server = True
            listener.curve_secretkey = self._keys[0].secret
            listener.curve_publickey = self._keys[0].public
        listener.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._listener = listener
        return listener

    def _drain_listener(
        self,
        listener: zmq.Socket[bytes],
    ) -> list[ReceivedFrame]:
        received_frames: list[ReceivedFrame] = []
        while listener.poll(0):
            frames = listener.recv_multipart()
            received_frames.append(ReceivedFrame(frames[-1], frames[0]))
        return received_frames


def _set_options(socket: zmq.Socket[bytes]) -> None:
    # Failure: a peer that was away comes back and gets minutes of old
    # messages. The queue to it is short, and versions in a message
    # that are older than what it holds are ignored there.
    socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.LINGER, RECONNECT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    # Failure: a line goes silent without a reset, and what is sent on it
    # waits for the kernel, that asks again after ever longer times: seconds
    # after a cut is mended nothing passes yet.
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
