"""Links between one entry and all targets, which can be cut from outside."""

import re
import socket
from enum import Enum

import orjson

from figstep.standins.proxy import Direction, Lose, TcpProxy
from tests.faults.targets import SoakTarget
from tests.ports import find_free_port
from tests.unreachable import Blackhole

_REQUEST_ID = re.compile(rb"Request-Id: (\S+)\r\n", re.IGNORECASE)


class CutKind(Enum):
    """What becomes of an entry's connections to targets during a cut."""

    RESET = "reset"  # open ones are reset, new ones are refused
    SILENT = "silent"  # open ones fall silent, new ones are not answered
    NEW_ONLY = "new_only"  # open ones live on, new ones are refused
    ONE_WAY = "one_way"  # as silent, but requests on open ones still get through


class EntryLinks:
    """Proxies between one entry and the targets, one for each target.

    The entry reads their addresses from its own view of the store.
    """

    def __init__(self, targets_by_address: dict[str, SoakTarget]) -> None:
        self._targets_by_address = targets_by_address
        self._proxies: dict[str, TcpProxy] = {}
        self._holes: list[Blackhole] = []
        self._reserved: list[socket.socket] = []
        self._cut: CutKind | None = None
        self._scope = ""
        self._cut_addresses: set[str] = set()
        self._ended: dict[str, socket.socket] = {}

    async def translate(self, value: bytes) -> bytes:
        """Return a record; a registration gets the address of its target's proxy."""
        if not value:
            return value
        document = orjson.loads(value)
        target = self._targets_by_address.get(document.get("addr", ""))
        if target is None:
            return value
        document["addr"] = (await self._open_proxy(target)).address
        return orjson.dumps(document)

    async def _open_proxy(self, target: SoakTarget) -> TcpProxy:
        known = self._proxies.get(target.address)
        if known is not None:
            return known
        host, _, port = target.address.rpartition(":")
        proxy = self._proxies[target.address] = TcpProxy(host, int(port))
        # It listens again at this port after a cut.
        await proxy.start(find_free_port())
        self._targets_by_address[proxy.address] = target
        if self._cut is not None and self._is_in_scope(target):
            await self._cut_proxy(target.address, self._cut)
        elif target.ended:
            await self.end(target)
        return proxy

    def list_requests(self) -> set[str]:
        """Return the ids of the requests on open connections."""
        found = set()
        for proxy in self._proxies.values():
            for data in proxy.list_first_requests():
                match = _REQUEST_ID.search(data)
                if match is not None:
                    found.add(match[1].decode())
        return found

    async def cut(self, kind: CutKind, scope: str = "") -> None:
        """Cut the entry off from the targets of a scope.

        ``scope`` is a service or the name of one target; "" stands for all targets.
        """
        self._cut = kind
        self._scope = scope
        for address, proxy in list(self._proxies.items()):
            if not self._is_in_scope(self._targets_by_address[address]):
                continue
            # One that does not listen yet is cut once it does.
            if proxy.address and address not in self._ended:
                await self._cut_proxy(address, kind)

    def _is_in_scope(self, target: SoakTarget) -> bool:
        return self._scope in ("", target.service, target.name)

    async def end(self, target: SoakTarget) -> None:
        """Refuse connections to a target that has ended; in a cut, after it."""
        address = target.address
        proxy = self._proxies.get(address)
        if proxy is None or not proxy.address or address in self._cut_addresses:
            return
        if address in self._ended:
            return
        await proxy.refuse()
        proxy.cut()
        host, _, port = proxy.address.rpartition(":")
        self._ended[address] = _reserve_port(host, int(port))

    async def _cut_proxy(self, address: str, kind: CutKind) -> None:
        self._cut_addresses.add(address)
        proxy = self._proxies[address]
        await proxy.refuse()
        host, _, port = proxy.address.rpartition(":")
        match kind:
            case CutKind.SILENT | CutKind.ONE_WAY:
                if kind is CutKind.SILENT:
                    proxy.freeze()
                else:
                    proxy.set_fault(Lose(Direction.TO_CLIENT))
                hole = Blackhole(host, int(port))
                self._holes.append(hole)
                await hole.fill()
                return
            case CutKind.RESET:
                proxy.cut()
        self._reserved.append(_reserve_port(host, int(port)))

    async def heal(self) -> None:
        """End the cut; connections that fell silent are reset."""
        for hole in self._holes:
            hole.close()
        self._holes.clear()
        for reserved in self._reserved:
            reserved.close()
        self._reserved.clear()
        kind, self._cut = self._cut, None
        addresses = list(self._cut_addresses)
        self._cut_addresses.clear()
        for address in addresses:
            proxy = self._proxies[address]
            if kind in (CutKind.SILENT, CutKind.ONE_WAY):
                proxy.cut()
                proxy.clear_fault()
            target = self._targets_by_address[address]
            if target.ended:
                await self.end(target)
                continue
            await proxy.accept_again()

    async def stop(self) -> None:
        """Close all proxies."""
        for closable in (*self._holes, *self._reserved, *self._ended.values()):
            closable.close()
        for proxy in self._proxies.values():
            await proxy.stop()


def _reserve_port(host: str, port: int) -> socket.socket:
    """Return a socket that keeps a port, which refuses connections, from others."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((host, port))
    return reserved
