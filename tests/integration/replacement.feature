Feature: Entries are replaced and no answer is lost
  The platform replaces every entry now and then, while shops and kitchens go on
  asking. A balancer sends new connections to ready entries only, but lags.

  Scenario: All entries are replaced one after another under load
    Each old entry is told to end: its readiness falls, it serves what still
    comes until the balancer has noticed, lets its streams end in their own
    time, and exits 0. Callers see whole answers over unbroken connections.
    Given 3 entries that give notice, and 2 engines
    And a balancer before the entries
    When each entry is replaced in turn under the load of 6 callers
    Then every entry that was replaced exited with 0
    And each caller's answers all came whole over the first connection
    And every promise held

  Scenario: A second signal ends an entry that still serves
    Someone cannot wait for a long stream and signals again. The caller is not
    left hanging: its stream ends with a typed problem, and the process ends.
    Given a fleet of 1 entries and 1 engines
    When a caller streams 5000 tokens through entry-1
    And it has seen 5 tokens
    And entry-1 is told to end twice
    Then its stream ends with a problem
    And every promise held
