"""Tests of the table of the addresses of other entries."""

from figstep.net.neighbors import (
    MAX_MEMBERS_PER_MESSAGE,
    NEIGHBOR_EXPIRY_SECONDS,
    RECENT_SECONDS,
    Member,
    NeighborTable,
)

OWN = "10.0.0.1:7200"


def build_table() -> NeighborTable:
    """Return a table with two entries of each of three failure domains."""
    table = NeighborTable(OWN, "muc-a")
    members = [
        Member(f"10.{domain}.0.{number}:7200", f"muc-{'abc'[domain]}")
        for domain in range(3)
        for number in (2, 3)
    ]
    table.record_members(members, 0.0)
    return table


def test_members_are_known_with_their_failure_domain() -> None:
    table = build_table()
    assert table.list_local() == ["10.0.0.2:7200", "10.0.0.3:7200"]
    assert table.list_without_domain() == []


def test_an_entry_is_not_its_own_neighbor() -> None:
    table = NeighborTable(OWN, "muc-a")
    table.record_members([Member(OWN, "muc-a")], 0.0)
    assert len(table) == 0


def test_one_entry_of_each_other_failure_domain_is_picked() -> None:
    picked = build_table().pick_remote(0.0)
    assert sorted(address[:4] for address in picked) == ["10.1", "10.2"]


def test_a_recently_named_entry_is_preferred_to_a_silent_one() -> None:
    """Guards against loads sent to an entry that has crashed."""
    table = build_table()
    later = RECENT_SECONDS + 1.0
    table.record_members([Member("10.1.0.3:7200", "muc-b")], later)
    assert "10.1.0.3:7200" in table.pick_remote(later)


def test_a_silent_failure_domain_is_still_tried() -> None:
    """Guards against failure domains that stay disconnected after a partition ends."""
    table = build_table()
    assert len(table.pick_remote(RECENT_SECONDS + 1.0)) == 2


def test_a_silent_address_expires() -> None:
    table = build_table()
    table.remove_expired(NEIGHBOR_EXPIRY_SECONDS)
    assert len(table) == 0


def test_all_members_are_sent_within_three_messages() -> None:
    table = NeighborTable(OWN, "muc-a")
    names = {f"10.0.1.{number}:7200" for number in range(40)}
    for name in names:
        table.add(name, 0.0).last_received = 0.0
    sent: set[str] = set()
    for _ in range(3):
        members = table.pick_members(0.0)
        assert len(members) == MAX_MEMBERS_PER_MESSAGE
        sent.update(member.address for member in members)
    assert sent == names


def test_all_local_members_are_named_in_turn_to_other_failure_domains() -> None:
    """Guards against a part of a failure domain that no other one hears of."""
    table = NeighborTable(OWN, "muc-a")
    names = {f"10.0.1.{number}:7200" for number in range(32)}
    for name in names:
        neighbor = table.add(name, 0.0)
        neighbor.last_received, neighbor.failure_domain = 0.0, "muc-a"
    remote = table.add("10.1.0.2:7200", 0.0)
    remote.last_received, remote.failure_domain = 0.0, "muc-b"
    sent: set[str] = set()
    for _ in range(4):
        table.pick_members(0.0)
        sent.update(member.address for member in table.pick_local_members(0.0))
    assert sent == names
