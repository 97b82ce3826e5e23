"""ZeroMQ sockets between nodes, used only by the distribution task."""

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
# A peer that was cut off reconnects within this time after the cut ends.
MAX_RECONNECT_MS: Final = 1000
CONNECT_TIMEOUT_MS: Final = 1000
# A connection that is silent for longer is closed. The timeout equals the time
# in which a version must be in force everywhere (two seconds on the users'
# platform); a line that carries a large message is silent for less.
HEARTBEAT_MS: Final = 1000
HEARTBEAT_TIMEOUT_MS: Final = 2000
MILLISECONDS: Final = 1000


class ReceivedFrame:
    """A received frame and the route for a reply."""

    __slots__ = ('frame', 'route')

    def __init__(self, frame: bytes, route: bytes | str) -> None:
        """Store the frame and the route.

        Args:
            frame: encoded message.
            route: sender's identity at the listening socket, or the address
                to which this node has opened a socket.
        """
        self.frame = frame
        self.route = route


class Peer:
    """A socket to one peer.

    Attributes:
        socket: connected socket.
        key_index: index of the fleet's key that the peer is assumed to have.
    """

    def __init__(
        self,
        socket: zmq.Socket[bytes],
        *,
        address: str,
        key_index: int,
    ) -> None:
        """Wrap a connected socket.

        Args:
            socket: connected DEALER socket.
            address: address of the peer.
            key_index: index of the key that the socket was opened with.
        """
        self.socket = socket
        self._address = address
        self.key_index = key_index
        self._unanswered = 0

    def send(self, frame: bytes) -> None:
        """Send a message.

        Args:
            frame: encoded message.

        Raises:
            ZMQError: if the queue to the peer is full.
        """
        self._unanswered += 1
        self.socket.send(frame, zmq.NOBLOCK)

    def seems_refused(self, keys: int) -> bool:
        """Tell whether to try the peer with another key.

        During a key rotation, some peers have the old key and some the new
        one. A peer that was given the wrong key shows it only by not replying.

        Args:
            keys: number of keys of the fleet.

        Returns:
            Whether several messages in a row had no reply.
        """
        return keys > 1 and self._unanswered > MAX_UNANSWERED_MESSAGES

    def drain(self) -> list[ReceivedFrame]:
        """Receive all pending messages.

        Returns:
            The frames, oldest first.
        """
        received_frames: list[ReceivedFrame] = []
        while self.socket.poll(0):
            self._unanswered = 0
            received_frames.append(
                ReceivedFrame(self.socket.recv(), self._address)
            )
        return received_frames


class NodeSockets:
    """A listening socket, and one socket to each of a bounded set of peers.

    Replies use the connection on which a message was received. So two nodes
    need only one connection, and a node that is not listed yet can be sent a
    reply.
    """

    def __init__(self, keys: tuple[KeyPair, ...] = ()) -> None:
        """Prepare without opening a socket.

        Args:
            keys: key pairs of the fleet, this node's own first; empty for
                connections that are neither encrypted nor authenticated.
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

        The library starts its threads with the first socket. No socket is
        opened before all modules are imported, since an import beside running
        threads has crashed on the users' platform
        (docs/design/concurrency.md).

        Args:
            address: address in ZeroMQ notation.

        Returns:
            None, or the fault.
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
        """Make ``wait`` return also when an inbox has a message.

        Args:
            inbox: inbox of the task that owns these sockets.
        """
        self._poller.register(inbox.fileno(), zmq.POLLIN)

    def wait(self, seconds: float) -> list[ReceivedFrame]:
        """Wait for messages.

        Args:
            seconds: maximum time to wait.

        Returns:
            The received frames; empty after the maximum time or if the inbox
            has a message.
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
        """Store the route for replies to an instance.

        A new node that starts while the platform is down has no list yet, so it
        does not know the address of the instance beside the seed that replied
        to it. It requests versions from the seed by this route.

        Args:
            instance: instance that sent a message.
            route: route of its ``ReceivedFrame``.
        """
        self._routes[instance] = route
        self._routes.move_to_end(instance)
        if len(self._routes) > MAX_PEERS * 4:
            self._routes.popitem(last=False)

    def answer(self, instance: InstanceId, frame: bytes) -> bool:
        """Send over the connection on which an instance last sent a message.

        Args:
            instance: receiving instance.
            frame: encoded message.

        Returns:
            Whether there is such a connection and it accepted the message.
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
        """Send to an address, opening a connection if necessary.

        Args:
            address: address in ZeroMQ notation.
            frame: encoded message.

        Returns:
            Whether the message was queued; False if the queue is full.
        """
        peer = self._peers.get(address) or self._open(address, 0)
        if peer.seems_refused(len(self._keys)):
            self._close(address)
            peer = self._open(address, peer.key_index + 1)
        self._peers.move_to_end(address)
        try:
            peer.send(frame)
        except zmq.ZMQError:
            return False
        self.sent_bytes += len(frame)
        return True

    def close(self) -> None:
        """Close all sockets; queued messages have a short time to be sent."""
        for peer in self._peers.values():
            peer.socket.close()
        if self._authenticator is not None:
            self._authenticator.close()
        if self._listener is not None:
            self._listener.close()
        self._context.term()

    @property
    def refused_peers(self) -> int:
        """Number of connections that were refused without a valid key."""
        return self._authenticator.refused if self._authenticator else 0

    def _open(self, address: str, key_index: int) -> Peer:
        if len(self._peers) >= MAX_PEERS:
            self._close(next(iter(self._peers)))
        socket = self._context.socket(zmq.DEALER)
        _set_options(socket)
        wrapped_index = key_index % max(1, len(self._keys))
        if self._keys:
            socket.curve_serverkey = self._keys[wrapped_index].public
            socket.curve_secretkey = self._keys[0].secret
            socket.curve_publickey = self._keys[0].public
        socket.connect(address)
        self._poller.register(socket, zmq.POLLIN)
        self._peers[address] = Peer(
            socket, address=address, key_index=wrapped_index
        )
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
    # The queue is short so that a peer that reconnects does not receive minutes
    # of old messages. It ignores versions older than its own.
    socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.LINGER, RECONNECT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    # Heartbeats detect a connection that goes silent without a reset. Otherwise
    # messages would wait for the kernel's retransmissions, whose intervals
    # grow, and nothing would pass for seconds after a cut has ended.
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
