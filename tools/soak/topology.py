"""Names and addresses of a deployment on loopback."""

from __future__ import annotations

import os

import attrs

from ..free_address import free_address

HOST = 'soak.example'
ENGINE_SERVICE = 'model'
PLAIN_SERVICES = ('desk', 'ledger')
PLAIN_REPLICAS = 2
CONTROLS = 3

# Last octets of the first VM of each kind, and of the proxies before them.
FIRST_EDGE = 10
FIRST_EDGE_LINK = 50
FIRST_REPLICA_LINK = 100
FIRST_REPLICA = 150
# The other octets of the network are taken from the process id, so that soaks which
# run at the same time do not meet.
FIRST_NETWORK = 64
NETWORKS = 128


def _free_port() -> int:
    return int(free_address().rpartition(':')[2])


def _names(kind: str, count: int) -> tuple[str, ...]:
    return tuple(f'{kind}-{number}' for number in range(1, count + 1))


@attrs.define(kw_only=True, frozen=True)
class Topology:
    """VMs of a deployment: entries, control nodes, agents and replicas, by name.

    The first VMs with an entry also run a control node.  A link is a proxy: callers
    reach entries, replicas and operators reach control nodes, and entries reach
    replicas through it.  An agent is on the VM where its replica's link listens,
    because entries look for it there.
    """

    network: str
    entry_names: tuple[str, ...]
    engine_names: tuple[str, ...]
    control_names: tuple[str, ...] = _names('control', CONTROLS)
    callers_port: int = attrs.field(factory=_free_port)
    readiness_port: int = attrs.field(factory=_free_port)
    control_port: int = attrs.field(factory=_free_port)
    replica_port: int = attrs.field(factory=_free_port)
    # First of the ports for messages between programs.
    nodes_port: int = attrs.field(factory=_free_port)

    @classmethod
    def of_size(cls, size: int) -> Topology:
        """Return a deployment of a size from 1, with free ports."""
        pid = os.getpid()
        network = f'127.{FIRST_NETWORK + pid % NETWORKS}.{pid // NETWORKS % 256}'
        return cls(
            network=network,
            entry_names=_names('entry', CONTROLS + 2 * (size - 1)),
            engine_names=_names(ENGINE_SERVICE, 3 * size),
        )

    @property
    def agent_names(self) -> tuple[str, ...]:
        """Names of the agents."""
        return tuple(f'agent-{name}' for name in self.engine_names)

    @property
    def replica_names(self) -> tuple[str, ...]:
        """Names of all replicas' VMs."""
        plain = (_names(service, PLAIN_REPLICAS) for service in PLAIN_SERVICES)
        return self.engine_names + sum(plain, ())

    @property
    def program_names(self) -> tuple[str, ...]:
        """Names of all programs in the order in which they are started."""
        return self.control_names + self.entry_names + self.agent_names

    @property
    def linked_names(self) -> tuple[str, ...]:
        """Names of everything that is reached through a link."""
        return self.entry_names + self.control_names + self.replica_names

    def ip(self, program: str) -> str:
        """Return the IP address of a program's VM."""
        if program.startswith('agent-'):
            return self._ip(program.removeprefix('agent-'), is_link=True)
        return self._ip(program, is_link=False)

    def readiness(self, entry: str) -> str:
        """Return the address at which an entry tells whether it is ready."""
        return f'{self.ip(entry)}:{self.readiness_port}'

    def address(self, name: str) -> str:
        """Return where an entry, control node or replica listens."""
        return f'{self._ip(name, is_link=False)}:{self._port(name)}'

    def link(self, name: str) -> str:
        """Return the address of the link to an entry, control node or replica."""
        return f'{self._ip(name, is_link=True)}:{self._port(name)}'

    def _ip(self, name: str, *, is_link: bool) -> str:
        if name in self.replica_names:
            first = FIRST_REPLICA_LINK if is_link else FIRST_REPLICA
            return f'{self.network}.{first + self.replica_names.index(name)}'
        first = FIRST_EDGE_LINK if is_link else FIRST_EDGE
        return f'{self.network}.{first + _number(name)}'

    def _port(self, name: str) -> int:
        if name in self.entry_names:
            return self.callers_port
        return self.control_port if name in self.control_names else self.replica_port


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `host:port`."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def service_of(replica: str) -> str:
    """Return the service of a replica's VM."""
    return replica.rpartition('-')[0]


def zone_of(name: str) -> str:
    """Return the data centre of a VM."""
    return f'zone-{"abc"[_number(name) % 3]}'


def _number(name: str) -> int:
    return int(name.rpartition('-')[2])
