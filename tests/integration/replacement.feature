Feature: Entries are replaced and no answer is lost
  The platform replaces every entry now and then, while shops and kitchens go on
  asking. A balancer sends new connections to ready entries only, but lags.

  Scenario: All entries are replaced one after another under load
    Each old entry is told to end: its readiness falls, it serves what still
    comes until the balancer has noticed, lets its streams end in their own
    time, and exits 0. Callers see whole answers over unbroken connections.
    Given a fleet of 3 entries and 2 engines
    And a balancer before the entries
    When each entry is replaced in turn while 6 callers keep asking
    Then every entry that was replaced exited with 0
    And each caller's answers all came whole over the first connection
    And every promise held
