Feature: An accepted configuration is in force everywhere and never reverts
  Operators of several member shops publish edits of one inventory through the
  log. What one of them was told is accepted holds at every entry within
  seconds, whatever the log does meanwhile; a losing edit is told its winner.

  Background:
    Given a fleet of 2 entries and 1 engine

  Scenario: Two operators race each other
    Both start from the same document and append before they see each other.
    The fold takes the first and refuses the second, at every entry alike, so
    one customer is known everywhere and the other nowhere.
    When "alpha" and "beta" are added by two operators at once
    Then one edit is accepted and the other is refused naming the winner
    And only the winner's customer is served, by every entry

  Scenario: The answer to a publish is lost
    The append takes effect but its answer never comes. Appending again would
    make a second edit, refused for its base; reading back tells the truth.
    When the log loses the answer to the next edit
    And "alpha" is added
    Then the edit is accepted
    And the log holds it once
    And "alpha" is served by every entry

  Scenario: The log goes down during a publish
    The append takes effect, its answer is lost and the log stays down for a
    while. The operator's tool waits and reads back once the log is there.
    When the log loses the answer to the next edit
    And "alpha" is added while the log goes down after the append and returns
    Then the edit is accepted
    And the log holds it once
    And "alpha" is served by every entry

  Scenario: The log is down for long
    Nothing can be published, and the operator is told that nothing was. The
    entries keep the document that they have, and generations go on.
    When the log is down
    And "alpha" is added
    Then the edit fails because the log is unavailable
    And a caller is served by every entry
    When the log returns
    And "alpha" is added
    Then "alpha" is served by every entry

  Scenario: The log forgets the edit
    Records are kept for a limited time and nobody edits for long. Entries
    append snapshots before the edit is dropped, so that even after all of them
    died at once a new entry serves by the same document.
    When the log has forgotten the first edit
    And entry-1 is killed
    And entry-2 is killed
    And entry-3 starts
    Then a caller is served by every entry

  Scenario: An entry is replaced while the log is down
    A fresh entry holds nothing and cannot read the log. It takes the document
    and its offset from another entry and serves within seconds.
    When the log is down
    And entry-3 starts
    Then a caller is served by every entry

  Scenario: Two at once: the log stops right after an edit and an entry dies
    The edit is accepted, one entry has it, and the log is gone. The entry that
    starts in place of the dead one must not serve by the older document.
    When "alpha" is added
    And the log goes down once entry-1 has the edit
    And entry-2 is killed
    And entry-3 starts
    Then "alpha" is served by every entry

  Scenario: The log comes back from a copy without the edit
    The newest records are gone, with an edit that was accepted. The entries go
    on by its document, one of them publishes it again, and a later edit is in
    force everywhere.
    When "alpha" is added
    Then "alpha" is served by every entry
    When the log comes back from a copy that lacks 3 records
    Then the log holds the edit of "alpha" again
    And "alpha" is served by every entry
    When entry-3 starts
    Then "alpha" is served by every entry
    When "beta" is added
    Then "beta" is served by every entry
