"""Tests of entries that exchange their state over real sockets."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack

from figstep.application import Application
from figstep.demo import KEY, Deployment, run_deployment
from figstep.net.log import HttpLog
from figstep.operations import publish_document
from figstep.settings import Peers, Platform, Settings

TIMEOUT_SECONDS = 60


async def wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


async def add_entry(
    stack: AsyncExitStack, deployment: Deployment, name: str, key: str = KEY
) -> Application:
    first = deployment.entries[0]
    peers = Peers(key=key, start=(first.peers.address,))
    settings = Settings(
        node=name,
        failure_domain="muc-a",
        platform=Platform(
            log=first.settings.platform.log,
            instances=first.settings.platform.instances,
        ),
        peers=peers,
        notice_seconds=0,
    )
    application = Application(settings)
    await application.start()
    stack.push_async_callback(application.stop)
    return application


async def test_new_entry_fetches_the_document_from_a_peer_while_the_log_is_down() -> (
    None
):
    """Guards against a replaced entry that cannot serve while the log is down.

    The new entry has no disk and cannot read the log. A peer answers its first message
    and sends it the document and its offset.
    """
    async with run_deployment() as deployment, AsyncExitStack() as stack:
        deployment.log.available = False
        fresh = await add_entry(stack, deployment, "entry-9")
        await wait_for(lambda: fresh.entry_state.configuration_offset >= 0)
        assert fresh.entry_state.configuration_offset == deployment.offset
        assert (
            fresh.entry_state.inventory == deployment.entries[0].entry_state.inventory
        )


async def test_edit_reaches_all_entries_when_the_log_fails_right_after() -> None:
    """Guards against entries that keep an old document while the log is down.

    One entry reads an edit, then the log fails for the others. They receive the higher
    offset by gossip and fetch the document from a peer.
    """
    async with run_deployment() as deployment, AsyncExitStack() as stack:
        first, second = deployment.entries
        late = await add_entry(stack, deployment, "entry-9")
        await wait_for(lambda: late.entry_state.configuration_offset == 0)
        second.configuration.read_from(1_000)  # its reads return nothing from here on
        await second.configuration.stop()
        client = HttpLog(first.settings.platform.log)
        stack.push_async_callback(client.close)
        offset = await publish_document(client, deployment.document, "ann", "again")
        deployment.log.available = False
        await wait_for(lambda: second.entry_state.configuration_offset == offset)


async def test_leaving_target_is_known_to_entries_that_cannot_ask_it() -> None:
    """Guards against an entry that keeps sending work to a leaving target.

    One entry is told by an engine that it leaves; the other cannot reach the engine
    and depends on the mark that the first one sends.
    """
    async with run_deployment() as deployment:
        first, second = deployment.entries
        await wait_for(lambda: bool(first.entry_state.membership.members))
        await second.targets.stop()
        deployment.engines[0].leaving = True
        name = deployment.engines[0].name
        await wait_for(lambda: second.entry_state.targets[name].leaving)


async def test_entry_with_another_key_is_ignored() -> None:
    async with run_deployment() as deployment, AsyncExitStack() as stack:
        stranger = await add_entry(stack, deployment, "entry-9", key="another")
        first = deployment.entries[0]
        await wait_for(lambda: first.peers.rejected > 0)
        assert "entry-9" not in first.entry_state.membership.members
        assert not stranger.entry_state.membership.members
