Feature: What must hold under every fault at every step

  Two entries, two sidecars and the platform's store; callers ask again with the same key through the other entry.

  Scenario Outline: <fault> at <step>
    When <fault> strikes at <step>
    Then each booking ran at most once, each answer is whole, and each not-run is true
    And most requests are served all the same

    Examples:
      | fault                      | step               |
      | KILL_SIDECAR               | ATTEMPT_SENT       |
      | KILL_ENTRY                 | ATTEMPT_SENT       |
      | FREEZE_SIDECAR_A_MINUTE    | ATTEMPT_SENT       |
      | FREEZE_SIDECAR_PAST_WINDOW | ATTEMPT_SENT       |
      | CUT_LINK                   | ATTEMPT_SENT       |
      | LOSE_MESSAGE               | ATTEMPT_SENT       |
      | DOUBLE_MESSAGE             | ATTEMPT_SENT       |
      | DELAY_MESSAGE              | ATTEMPT_SENT       |
      | STORE_DOWN                 | ATTEMPT_SENT       |
      | STORE_ANSWER_LOST          | ATTEMPT_SENT       |
      | UPSTREAM_BREAKS            | ATTEMPT_SENT       |
      | DRAIN_SIDECAR              | ATTEMPT_SENT       |
      | CALLER_ASKS_AGAIN          | ATTEMPT_SENT       |
      | KILL_SIDECAR               | CLAIM_READ         |
      | KILL_ENTRY                 | CLAIM_READ         |
      | FREEZE_SIDECAR_A_MINUTE    | CLAIM_READ         |
      | FREEZE_SIDECAR_PAST_WINDOW | CLAIM_READ         |
      | CUT_LINK                   | CLAIM_READ         |
      | LOSE_MESSAGE               | CLAIM_READ         |
      | DOUBLE_MESSAGE             | CLAIM_READ         |
      | DELAY_MESSAGE              | CLAIM_READ         |
      | STORE_DOWN                 | CLAIM_READ         |
      | STORE_ANSWER_LOST          | CLAIM_READ         |
      | UPSTREAM_BREAKS            | CLAIM_READ         |
      | DRAIN_SIDECAR              | CLAIM_READ         |
      | CALLER_ASKS_AGAIN          | CLAIM_READ         |
      | KILL_SIDECAR               | CLAIM_WRITE        |
      | KILL_ENTRY                 | CLAIM_WRITE        |
      | FREEZE_SIDECAR_A_MINUTE    | CLAIM_WRITE        |
      | FREEZE_SIDECAR_PAST_WINDOW | CLAIM_WRITE        |
      | CUT_LINK                   | CLAIM_WRITE        |
      | LOSE_MESSAGE               | CLAIM_WRITE        |
      | DOUBLE_MESSAGE             | CLAIM_WRITE        |
      | DELAY_MESSAGE              | CLAIM_WRITE        |
      | STORE_DOWN                 | CLAIM_WRITE        |
      | STORE_ANSWER_LOST          | CLAIM_WRITE        |
      | UPSTREAM_BREAKS            | CLAIM_WRITE        |
      | DRAIN_SIDECAR              | CLAIM_WRITE        |
      | CALLER_ASKS_AGAIN          | CLAIM_WRITE        |
      | KILL_SIDECAR               | CLAIM_WRITE_ANSWER |
      | KILL_ENTRY                 | CLAIM_WRITE_ANSWER |
      | FREEZE_SIDECAR_A_MINUTE    | CLAIM_WRITE_ANSWER |
      | FREEZE_SIDECAR_PAST_WINDOW | CLAIM_WRITE_ANSWER |
      | CUT_LINK                   | CLAIM_WRITE_ANSWER |
      | LOSE_MESSAGE               | CLAIM_WRITE_ANSWER |
      | DOUBLE_MESSAGE             | CLAIM_WRITE_ANSWER |
      | DELAY_MESSAGE              | CLAIM_WRITE_ANSWER |
      | STORE_DOWN                 | CLAIM_WRITE_ANSWER |
      | STORE_ANSWER_LOST          | CLAIM_WRITE_ANSWER |
      | UPSTREAM_BREAKS            | CLAIM_WRITE_ANSWER |
      | DRAIN_SIDECAR              | CLAIM_WRITE_ANSWER |
      | CALLER_ASKS_AGAIN          | CLAIM_WRITE_ANSWER |
      | KILL_SIDECAR               | CALL_LEAVING       |
      | KILL_ENTRY                 | CALL_LEAVING       |
      | FREEZE_SIDECAR_A_MINUTE    | CALL_LEAVING       |
      | FREEZE_SIDECAR_PAST_WINDOW | CALL_LEAVING       |
      | CUT_LINK                   | CALL_LEAVING       |
      | DELAY_MESSAGE              | CALL_LEAVING       |
      | STORE_DOWN                 | CALL_LEAVING       |
      | STORE_ANSWER_LOST          | CALL_LEAVING       |
      | UPSTREAM_BREAKS            | CALL_LEAVING       |
      | DRAIN_SIDECAR              | CALL_LEAVING       |
      | CALLER_ASKS_AGAIN          | CALL_LEAVING       |
      | KILL_SIDECAR               | CALL_RUNNING       |
      | KILL_ENTRY                 | CALL_RUNNING       |
      | FREEZE_SIDECAR_A_MINUTE    | CALL_RUNNING       |
      | FREEZE_SIDECAR_PAST_WINDOW | CALL_RUNNING       |
      | CUT_LINK                   | CALL_RUNNING       |
      | DELAY_MESSAGE              | CALL_RUNNING       |
      | STORE_DOWN                 | CALL_RUNNING       |
      | STORE_ANSWER_LOST          | CALL_RUNNING       |
      | UPSTREAM_BREAKS            | CALL_RUNNING       |
      | DRAIN_SIDECAR              | CALL_RUNNING       |
      | CALLER_ASKS_AGAIN          | CALL_RUNNING       |
      | KILL_SIDECAR               | ANSWER_HEAD        |
      | KILL_ENTRY                 | ANSWER_HEAD        |
      | FREEZE_SIDECAR_A_MINUTE    | ANSWER_HEAD        |
      | FREEZE_SIDECAR_PAST_WINDOW | ANSWER_HEAD        |
      | CUT_LINK                   | ANSWER_HEAD        |
      | LOSE_MESSAGE               | ANSWER_HEAD        |
      | DOUBLE_MESSAGE             | ANSWER_HEAD        |
      | DELAY_MESSAGE              | ANSWER_HEAD        |
      | STORE_DOWN                 | ANSWER_HEAD        |
      | STORE_ANSWER_LOST          | ANSWER_HEAD        |
      | UPSTREAM_BREAKS            | ANSWER_HEAD        |
      | DRAIN_SIDECAR              | ANSWER_HEAD        |
      | CALLER_ASKS_AGAIN          | ANSWER_HEAD        |
      | KILL_SIDECAR               | ANSWER_CHUNK       |
      | KILL_ENTRY                 | ANSWER_CHUNK       |
      | FREEZE_SIDECAR_A_MINUTE    | ANSWER_CHUNK       |
      | FREEZE_SIDECAR_PAST_WINDOW | ANSWER_CHUNK       |
      | CUT_LINK                   | ANSWER_CHUNK       |
      | LOSE_MESSAGE               | ANSWER_CHUNK       |
      | DOUBLE_MESSAGE             | ANSWER_CHUNK       |
      | DELAY_MESSAGE              | ANSWER_CHUNK       |
      | STORE_DOWN                 | ANSWER_CHUNK       |
      | STORE_ANSWER_LOST          | ANSWER_CHUNK       |
      | UPSTREAM_BREAKS            | ANSWER_CHUNK       |
      | DRAIN_SIDECAR              | ANSWER_CHUNK       |
      | CALLER_ASKS_AGAIN          | ANSWER_CHUNK       |
      | KILL_SIDECAR               | ANSWER_END         |
      | KILL_ENTRY                 | ANSWER_END         |
      | FREEZE_SIDECAR_A_MINUTE    | ANSWER_END         |
      | FREEZE_SIDECAR_PAST_WINDOW | ANSWER_END         |
      | CUT_LINK                   | ANSWER_END         |
      | LOSE_MESSAGE               | ANSWER_END         |
      | DOUBLE_MESSAGE             | ANSWER_END         |
      | DELAY_MESSAGE              | ANSWER_END         |
      | STORE_DOWN                 | ANSWER_END         |
      | STORE_ANSWER_LOST          | ANSWER_END         |
      | UPSTREAM_BREAKS            | ANSWER_END         |
      | DRAIN_SIDECAR              | ANSWER_END         |
      | CALLER_ASKS_AGAIN          | ANSWER_END         |

  Scenario Outline: two faults at <step>
    When any two faults strike at <step>
    Then each booking ran at most once, each answer is whole, and each not-run is true

    Examples:
      | step               |
      | ATTEMPT_SENT       |
      | CLAIM_READ         |
      | CLAIM_WRITE        |
      | CLAIM_WRITE_ANSWER |
      | CALL_LEAVING       |
      | CALL_RUNNING       |
      | ANSWER_HEAD        |
      | ANSWER_CHUNK       |
      | ANSWER_END         |
