Feature: An answer survives what happens to entries, engines and links
  A kitchen coordinator streams a long meal plan at midnight. Whatever dies or
  falls silent on the way, each token comes once, in order, from one generation,
  and the plan is whole or ends at once with words on how to get it whole.

  Background:
    Given a fleet of 2 entries and 2 engines

  Scenario: The entry dies in the middle of a stream
    The caller sees its connection break after some tokens. It returns to the
    other entry with the id of the last event that it saw; that entry knows
    nothing of it but finds the engine in the generation's id and resumes.
    When a caller streams 60 tokens through entry-1
    And it has seen 10 tokens
    And entry-1 is killed
    And its connection ends
    And it returns through entry-2
    Then its answer is whole with 60 tokens
    And every promise held

  Scenario Outline: The engine dies under a stream
    The caller has seen <seen> of 30 tokens when the engine's process is killed.
    Nobody else holds the generation, and tokens of a second one must not be
    stitched on, so the stream ends at once and says that the request ran.
    When a caller streams 30 tokens through entry-1
    And it has seen <seen> tokens
    And its engine is killed
    Then its answer is whole or ends with a problem that says it ran
    And every promise held

    Examples:
      | seen |
      | 1    |
      | 15   |
      | 29   |

  Scenario: Two at once: the entry dies while the links are frozen
    The engine's open connections freeze and then the entry is killed. The
    caller returns to the other entry, which has its own, working connections.
    When a caller streams 60 tokens through entry-1
    And it has seen 10 tokens
    And the open connections to its engine freeze
    And entry-1 is killed
    And its connection ends
    And it returns through entry-2
    Then its answer is whole with 60 tokens
    And every promise held

  Scenario: Two at once: the entry and the engine die
    A rack goes, and with it the entry and the engine that held the generation.
    The caller returns to the other entry, which must say at once that this
    answer is gone, and not stitch another on; asked anew, it answers whole.
    When a caller streams 60 tokens through entry-1
    And it has seen 10 tokens
    And its engine runs it
    And entry-1 is killed
    And its engine is killed
    And its connection ends
    And it returns through entry-2
    Then its stream ends with a problem
    And a caller is served by every entry
    And every promise held

  Scenario Outline: An engine is reclaimed at short notice
    <source> says that the engine leaves. The stream on it goes on to its end;
    what is asked a few seconds later goes elsewhere, whoever it was that said
    so, and although the engine itself may still take what it is sent.
    When a caller streams 100 tokens through entry-1
    And it has seen 5 tokens
    And <source> says that its engine leaves
    And both entries know that it leaves
    And 6 more callers stream 5 tokens through either entry
    Then its answer is whole with 100 tokens
    And all others were served by other engines
    And every promise held

    Examples:
      | source            |
      | the engine        |
      | the instance list |
      | an operator       |

  Scenario: The engine dies before a caller without a stream has its answer
    The answer is gathered in the entry, so the caller has seen nothing when
    the engine is killed. A new generation elsewhere is invisible to it.
    When a caller asks for 40 tokens in one piece through entry-1
    And its engine runs it
    And its engine is killed
    Then its answer comes in one piece
    And every promise held

  Scenario: A request crashes each engine that runs it
    A body that no engine survives is sent, and sent again when it fails. After
    two deaths it is refused, and soon by every entry; what ran beside it on the
    engines that died is innocent, and is served when it is sent again.
    When 4 callers start to stream 40 tokens through entry-1
    And a caller sends a request that crashes engines through entry-1
    Then it is refused at once
    When the engines that crashed start anew
    And it is sent again through entry-1 until it is refused as quarantined
    Then at most 2 engines ran it
    When it is sent again through entry-2 until it is refused as quarantined
    And the engines that crashed start anew
    Then the others get whole answers when they send their requests again
    And every promise held

  Scenario Outline: The link to the engine fails under a stream
    The open connections <fault>, while new ones work. Where nothing closes, the
    entry finds the silence longer than the engine's gaps; either way it
    reattaches over a new connection by generation and index, and the caller
    sees no more than a pause.
    When a caller streams 40 tokens through entry-1
    And it has seen 10 tokens
    And the open connections to its engine <fault>
    Then its answer is whole with 40 tokens
    And every promise held

    Examples:
      | fault                      |
      | freeze for good            |
      | are cut                    |
      | are half-open              |
      | lose all that comes back   |
      | drip                       |
