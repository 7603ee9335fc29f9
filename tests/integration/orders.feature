Feature: A non-idempotent order runs at most once
  A coordinator orders flour; a second pallet would stand in the rain. Whatever
  is lost on the way, and however often the order is sent, it runs once at most,
  and whoever is told that it did not run can rely on it.

  Background:
    Given a fleet of 2 entries and 1 engines

  Scenario: The same order through two entries at once
    The coordinator taps twice and the balancer picks two entries. Both append a
    claim; the log's order makes one the owner, and the other's caller gets the
    owner's outcome.
    When "flour" is ordered through entry-1 and entry-2 at once
    Then both callers get the same answer
    And "flour" ran once
    And every promise held

  Scenario: The answer to the claim's append is lost
    The claim takes effect but its answer never comes. Claiming again under a
    new id would make the entry lose to itself; reading settles it.
    When the log loses the answer to the next claim
    And "flour" is ordered through entry-1
    Then its caller gets an answer
    And "flour" ran once
    And every promise held

  Scenario: The log is down
    No claim can be made, so an order is refused as not run at once, with a time
    to come back, while generations go on. Once the log is back it runs.
    When the log is down
    And "flour" is ordered through entry-1
    Then its caller is told that it did not run and when to come back
    And "flour" ran 0 times
    And a caller is served by every entry
    When the log returns
    And "flour" is ordered again until it is taken
    Then "flour" ran once
    And every promise held

  Scenario: The log is slow
    Each call of the log takes seconds. The order waits for its claim to be read
    back; neither a second claim nor a dispatch without one speeds it up.
    When the log takes 1500 ms for each call
    And "flour" is ordered through entry-1 and entry-2 at once
    Then both callers get the same answer
    And "flour" ran once
    And every promise held

  Scenario: The log is slow, and callers send again
    Each call of the log takes long. The order waits for its claim to be read
    back, or is refused as not run and sent again; neither a dispatch without
    the claim nor a second claim speeds it up.
    When the log takes 700 ms for each call
    And "flour" is ordered again until it is taken
    Then "flour" ran once
    And every promise held

  Scenario: The log answers nothing, and the order is sent again
    The link to the log stalls without closing. The claim may or may not have
    been made; the order is sent again through the other entry after it clears.
    When the link to the log stalls
    And "flour" is ordered through entry-1 for as long as the link stalls
    And "flour" is ordered again until it is taken
    Then "flour" ran once
    And every promise held

  Scenario: The owner of a claim is frozen and wakes
    The entry is paused right after its claim took effect and before it could
    dispatch. The order is sent again through the other entry, which must not
    run it, for the first may wake at any moment, as it then does.
    When entry-1 freezes as soon as its claim is in the log
    And "flour" is ordered through entry-1 without waiting
    And "flour" is also ordered through entry-2
    And entry-1 wakes
    Then both callers got a final answer
    And "flour" ran at most once
    And every promise held

  Scenario: The owner of a claim dies after it dispatched
    The service runs the order slowly, and the entry that sent it is killed.
    The caller sends it again through the other entry, which finds a claim with
    no outcome: it cannot know, so it says so, and runs nothing.
    When the service is slow
    And "flour" is ordered through entry-1 without waiting
    And "flour" has reached the service
    And entry-1 is killed
    And "flour" is ordered again through entry-2
    Then its caller is told that it may have run
    And "flour" ran once
    And every promise held

  Scenario: The service's answer is lost
    The service books the seat, and the link dies before the answer comes. The
    caller is told that it may have run; sending it again runs nothing.
    When the links to the services lose the next answer
    And "flour" is ordered through entry-1
    Then its caller is told that it may have run
    When "flour" is ordered again through entry-2
    Then its caller is told that it may have run
    And "flour" ran once
    And every promise held

  Scenario: Two at once: the claim's answer is lost and its owner dies
    The claim took effect without an answer, and then the entry is killed while
    the service runs the order. Both halves of the story are lost at once.
    When the log loses the answer to the next claim
    And the service is slow
    And "flour" is ordered through entry-1 without waiting
    And "flour" has reached the service
    And entry-1 is killed
    And "flour" is ordered again through entry-2
    Then its caller is told that it may have run
    And "flour" ran once
    And every promise held

  Scenario: The log comes back from a copy without the claim
    The claim and the outcome are gone from the log. The order is sent again
    through an entry that has read neither.
    When "flour" is ordered through entry-1
    And the log comes back from a copy that lacks 3 records
    And entry-3 starts
    And "flour" is ordered again through entry-3
    Then "flour" ran once
    And every promise held

  Scenario: Two at once: the log comes back from a copy and the owner dies
    The claim and the outcome are gone, and so is the entry that made them. The
    other one has read them.
    When "flour" is ordered through entry-1
    And the log comes back from a copy that lacks 3 records
    And entry-1 is killed
    And entry-3 starts
    And "flour" is ordered again through entry-3
    Then "flour" ran once
    And every promise held
