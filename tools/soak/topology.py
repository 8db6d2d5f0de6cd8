"""Names and addresses of a deployment on loopback."""

from __future__ import annotations

import os

import attrs

from ..free_address import free_address

HOST = 'soak.example'
ENGINE_SERVICE = 'model'
PLAIN_SERVICES = ('desk', 'ledger')
PLAIN_REPLICAS = 2
# So many replicas of the engine have no agent beside them.
BARE_ENGINES = 1
CONTROLS = 3
DISKLESS_CONTROLS = 2

# Blocks of 256 addresses: VMs of each kind, the proxies before them, and unused ones.
EDGES, EDGE_LINKS, REPLICAS, REPLICA_LINKS, UNUSED = range(5)
BLOCKS = 8
# The network and its first block are taken from the process id, so that soaks which
# run at the same time do not meet.
FIRST_NETWORK = 64
NETWORKS = 128
FIRST_BLOCKS = range(0, 256, BLOCKS)
# Each kind of program has the first port for messages or one of those after it.
NODE_ROLES = ('control', 'entry')


def _free_port() -> int:
    return int(free_address().rpartition(':')[2])


def _names(kind: str, count: int) -> tuple[str, ...]:
    return tuple(f'{kind}-{number}' for number in range(1, count + 1))


@attrs.define(kw_only=True, frozen=True)
class Topology:
    """VMs of a deployment: entries, control nodes, agents and replicas, by name.

    The first VMs with an entry also run a control node.  A link is a proxy: callers
    reach entries, replicas and operators reach control nodes, and entries reach
    replicas through it.  Entries and control nodes reach one another through proxies
    too, at the addresses that they advertise.  An agent is on the VM where its
    replica's link listens, because entries look for it there; some have none.
    Operators and replicas call the control nodes with a disk, `control_names`; those of
    `diskless_names` are on VMs of their own.
    """

    network: str
    first_block: int
    entry_names: tuple[str, ...]
    engine_names: tuple[str, ...]
    control_names: tuple[str, ...] = _names('control', CONTROLS)
    diskless_names: tuple[str, ...] = _names('control', CONTROLS + DISKLESS_CONTROLS)[
        CONTROLS:
    ]
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
        return cls(
            network=f'127.{FIRST_NETWORK + pid % NETWORKS}',
            first_block=FIRST_BLOCKS[pid // NETWORKS % len(FIRST_BLOCKS)],
            entry_names=_names('entry', CONTROLS + 2 * (size - 1)),
            engine_names=_names(ENGINE_SERVICE, 3 * size + BARE_ENGINES),
        )

    @property
    def agent_names(self) -> tuple[str, ...]:
        """Names of the agents."""
        return tuple(f'agent-{name}' for name in self.engine_names[:-BARE_ENGINES])

    @property
    def replica_names(self) -> tuple[str, ...]:
        """Names of all replicas' VMs."""
        plain = (_names(service, PLAIN_REPLICAS) for service in PLAIN_SERVICES)
        return self.engine_names + sum(plain, ())

    @property
    def program_names(self) -> tuple[str, ...]:
        """Names of all programs in the order in which they are started."""
        return self.all_control_names + self.entry_names + self.agent_names

    @property
    def all_control_names(self) -> tuple[str, ...]:
        """Names of the control nodes with and without a disk."""
        return self.control_names + self.diskless_names

    @property
    def node_names(self) -> tuple[str, ...]:
        """Names of the programs that others reach through a proxy."""
        return self.all_control_names + self.entry_names

    @property
    def linked_names(self) -> tuple[str, ...]:
        """Names of everything that is reached through a link."""
        return self.entry_names + self.all_control_names + self.replica_names

    def ip(self, program: str) -> str:
        """Return the IP address of a program's VM."""
        if program in self.agent_names:
            return self.advertise_ip(program)
        return self._ip(program, is_link=False)

    def advertise_ip(self, program: str) -> str:
        """Return the IP address at which other programs reach a program."""
        return self._ip(program.removeprefix('agent-'), is_link=True)

    def node_address(self, program: str) -> str:
        """Return where a program listens for messages of other programs."""
        return f'{self.ip(program)}:{self._node_port(program)}'

    def node_link(self, program: str) -> str:
        """Return the address to which other programs send messages."""
        return f'{self.advertise_ip(program)}:{self._node_port(program)}'

    def _node_port(self, program: str) -> int:
        return self.nodes_port + NODE_ROLES.index(program.partition('-')[0])

    @property
    def unused_ip(self) -> str:
        """An address at which nothing listens."""
        return f'{self.network}.{self.first_block + UNUSED}.1'

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
            block = REPLICA_LINKS if is_link else REPLICAS
            number = 1 + self.replica_names.index(name)
        else:
            block = EDGE_LINKS if is_link else EDGES
            number = _number(name)
        return f'{self.network}.{self.first_block + block}.{number}'

    def _port(self, name: str) -> int:
        if name in self.entry_names:
            return self.callers_port
        is_control = name in self.all_control_names
        return self.control_port if is_control else self.replica_port


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
