"""What a deployment consists of, and what its processes write down."""

from __future__ import annotations

from enum import Enum
from typing import Final, final

from msgspec import Struct, structs

APP_PORT: Final = 8145
ENTRY_PORT: Final = 8147
OWNER_PORT: Final = 8146
READY_PORT: Final = 8141
STORE_PORT: Final = 8142
CONTROL_PORT: Final = 8529
ADMIN_PORT: Final = 9464
INTERNAL_PORTS: Final = (7380, 7395)
HOST_NAME: Final = 'mesh.example'
HEALTH_PATH: Final = '/health'


@final
class RequestKind(Enum):
    """Whether requests of a class may run more than once."""

    safe = 'safe'
    unsafe = 'unsafe'


class InnerCall(Struct, frozen=True, kw_only=True):
    """A call that a backend server makes while it runs a request.

    Attributes:
        work_class: class of the call.
        times: number of calls.
        share: share of the requests that make them.
    """

    work_class: str
    times: int = 1
    share: float = 1


class WorkClass(Struct, frozen=True, kw_only=True):
    """A class of requests.

    Attributes:
        name: name of the class; also the first part of its paths.
        service: service that runs the requests.
        kind: whether requests may run more than once.
        goal_ms: latency target, milliseconds.
        deadline_ms: time limit of callers, milliseconds.
        timeout_ms: time limit of the route, milliseconds.
        work_ms: mean time that a request takes, milliseconds.
        weight: relative frequency; 0 for calls of backend servers.
        priority: rank; 0 is the highest.
        body_bytes: size of the request's body.
        calls: calls that the backend server makes meanwhile.
    """

    name: str
    service: str
    kind: RequestKind
    goal_ms: int
    deadline_ms: int
    timeout_ms: int
    work_ms: float
    weight: float = 0
    priority: int = 2
    body_bytes: int = 0
    calls: tuple[InnerCall, ...] = ()


class Deployment(Struct, frozen=True, kw_only=True):
    """One deployment.

    Attributes:
        name: name of the deployment.
        zones: data centres.
        machines: service of each machine, by data centre.
        classes: classes of requests.
        slots: requests that a backend server runs at once.
        queue: requests that wait at a backend server at most.
        speeds: factors of the time that work takes, given to the servers in
            turn.
        per_second: requests of all callers in a second.
        clients: number of callers.
        heartbeat_ms: interval between two writes of a server to its entry.
        drain_ms: time after which no request may reach a leaving server.
        resets_when_full: whether a full server resets the connection.
        memory_mb: memory of a machine for its node, megabytes.
        max_fds: most descriptors of a node.
    """

    name: str
    zones: tuple[str, ...]
    machines: tuple[tuple[str, ...], ...]
    classes: tuple[WorkClass, ...]
    slots: int
    queue: int
    speeds: tuple[float, ...]
    per_second: float
    clients: int
    heartbeat_ms: int
    drain_ms: int = 2000
    resets_when_full: bool = False
    memory_mb: int = 300
    max_fds: int = 4100

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all services."""
        names = (service for zone in self.machines for service in zone)
        return tuple(dict.fromkeys(names))

    def adapt(self, *, patience: float = 1, slots: int = 0) -> Deployment:
        """Change the time that callers wait and the size of the servers.

        Args:
            patience: factor of all targets and time limits.
            slots: requests that a server runs at once; 0 to keep the figure.

        Returns:
            The changed deployment.
        """
        classes = tuple(
            structs.replace(
                each,
                goal_ms=round(each.goal_ms * patience),
                deadline_ms=round(each.deadline_ms * patience),
                timeout_ms=round(each.timeout_ms * patience),
            )
            for each in self.classes
        )
        return structs.replace(self, classes=classes, slots=slots or self.slots)

    def find_class(self, name: str) -> WorkClass:
        """Find a class by its name.

        Args:
            name: name of the class.

        Returns:
            The class.
        """
        return next(each for each in self.classes if each.name == name)


class ServerPlan(Struct, frozen=True, kw_only=True):
    """How the process of a backend server is started.

    Attributes:
        deployment: name of the deployment.
        instance: id of the server.
        host: IP address of its machine.
        service: service that it runs.
        speed: factor of the time that work takes.
        slots: requests that it runs at once.
        seed: seed of its random choices.
        arrivals_path: file for the requests that reach it.
        word_path: file for the first answer that says that it leaves.
        names_limit: whether it names a rate limit; one server in three names
            one that can't be read.
    """

    deployment: str
    instance: str
    host: str
    service: str
    speed: float
    slots: int
    seed: int
    arrivals_path: str
    word_path: str
    names_limit: bool = False


class LeavingWord(Struct, frozen=True, kw_only=True):
    """The first answer in which a server says that it leaves.

    Attributes:
        instance: id of the server.
        host: IP address of its machine.
        at: when the answer was sent, seconds on the monotonic clock.
    """

    instance: str
    host: str
    at: float


class Burst(Struct, frozen=True, kw_only=True):
    """A time in which callers send more.

    Attributes:
        begins_at: begin, seconds on the monotonic clock.
        ends_at: end, seconds on the monotonic clock.
        factor: factor of the rate.
    """

    begins_at: float
    ends_at: float
    factor: float


class ClientPlan(Struct, frozen=True, kw_only=True):
    """How a process of callers is started.

    Attributes:
        deployment: name of the deployment.
        name: prefix of the ids of its requests.
        patience: factor of the time limits of their requests.
        hosts_path: file with the ready machines of the callers' data centre.
        clients: number of callers.
        per_second: requests that they send in a second.
        bursts: times in which they send more.
        ends_at: when they stop, seconds on the monotonic clock.
        seed: seed of their random choices.
        requests_path: file for the requests that they send.
    """

    deployment: str
    name: str
    patience: float
    hosts_path: str
    clients: int
    per_second: float
    bursts: tuple[Burst, ...]
    ends_at: float
    seed: int
    requests_path: str


@final
class ArrivalEnd(Enum):
    """What a backend server does with a request that reaches it.

    Attributes:
        run: it begins to work on it, or lets it wait.
        misdirected: it refuses the request, which names another server.
        shed: it refuses the request, because it is full.
    """

    run = 'run'
    misdirected = 'misdirected'
    shed = 'shed'


class Arrival(Struct, frozen=True, kw_only=True):
    """A request that reached a backend server.

    Attributes:
        request_id: id of the request.
        instance: id of the server.
        at: time, seconds on the monotonic clock.
        end: what the server does with it.
    """

    request_id: str
    instance: str
    at: float
    end: ArrivalEnd


class SentRequest(Struct, frozen=True, kw_only=True):
    """A request that was sent to a node.

    Attributes:
        request_id: id of the request.
        work_class: name of its class.
        host: IP address of the node.
        at: time of sending, seconds on the monotonic clock.
        ended_at: time of its end, seconds on the monotonic clock; 0 if it had
            not ended.
        status: status of the answer; 0 if there was none.
        was_cut: whether its connection ended before the answer.
    """

    request_id: str
    work_class: str
    host: str
    at: float
    ended_at: float = 0
    status: int = 0
    was_cut: bool = False
