Feature: Invariants under every fault at every injection point

  Two entries, two sidecars and the platform's store. Callers repeat their requests with the same key through the other
  entry.

  Scenario Outline: <fault> at <point>
    When <fault> is injected at <point>
    Then no booking has run more than once, every answer is complete, and every not-run verdict is correct
    And most requests are served nevertheless

    Examples:
      | fault                             | point        |
      | KILL_SIDECAR                      | ATTEMPT_SENT |
      | KILL_ENTRY                        | ATTEMPT_SENT |
      | SUSPEND_SIDECAR_ONE_MINUTE        | ATTEMPT_SENT |
      | SUSPEND_SIDECAR_PAST_CLAIM_WINDOW | ATTEMPT_SENT |
      | CUT_LINK                          | ATTEMPT_SENT |
      | DROP_MESSAGE                      | ATTEMPT_SENT |
      | DUPLICATE_MESSAGE                 | ATTEMPT_SENT |
      | DELAY_MESSAGE                     | ATTEMPT_SENT |
      | STORE_OUTAGE                      | ATTEMPT_SENT |
      | DROP_STORE_REPLIES                | ATTEMPT_SENT |
      | FAIL_UPSTREAM_CALL                | ATTEMPT_SENT |
      | DRAIN_SIDECAR                     | ATTEMPT_SENT |
      | DUPLICATE_REQUESTS                | ATTEMPT_SENT |
      | KILL_SIDECAR                      | CLAIM_READ   |
      | KILL_ENTRY                        | CLAIM_READ   |
      | SUSPEND_SIDECAR_ONE_MINUTE        | CLAIM_READ   |
      | SUSPEND_SIDECAR_PAST_CLAIM_WINDOW | CLAIM_READ   |
      | CUT_LINK                          | CLAIM_READ   |
      | DROP_MESSAGE                      | CLAIM_READ   |
      | DUPLICATE_MESSAGE                 | CLAIM_READ   |
      | DELAY_MESSAGE                     | CLAIM_READ   |
      | STORE_OUTAGE                      | CLAIM_READ   |
      | DROP_STORE_REPLIES                | CLAIM_READ   |
      | FAIL_UPSTREAM_CALL                | CLAIM_READ   |
      | DRAIN_SIDECAR                     | CLAIM_READ   |
      | DUPLICATE_REQUESTS                | CLAIM_READ   |
      | KILL_SIDECAR                      | CLAIM_WRITE  |
      | KILL_ENTRY                        | CLAIM_WRITE  |
      | SUSPEND_SIDECAR_ONE_MINUTE        | CLAIM_WRITE  |
      | SUSPEND_SIDECAR_PAST_CLAIM_WINDOW | CLAIM_WRITE  |
      | CUT_LINK                          | CLAIM_WRITE  |
      | DROP_MESSAGE                      | CLAIM_WRITE  |
      | DUPLICATE_MESSAGE                 | CLAIM_WRITE  |
      | DELAY_MESSAGE                     | CLAIM_WRITE  |
      | STORE_OUTAGE                      | CLAIM_WRITE  |
      | DROP_STORE_REPLIES                | CLAIM_WRITE  |
      | FAIL_UPSTREAM_CALL                | CLAIM_WRITE  |
      | DRAIN_SIDECAR                     | CLAIM_WRITE  |
      | DUPLICATE_REQUESTS                | CLAIM_WRITE  |
      | KILL_SIDECAR                      | CLAIM_REPLY  |
      | KILL_ENTRY                        | CLAIM_REPLY  |
      | SUSPEND_SIDECAR_ONE_MINUTE        | CLAIM_REPLY  |
      | SUSPEND_SIDECAR_PAST_CLAIM_WINDOW | CLAIM_REPLY  |
      | CUT_LINK                          | CLAIM_REPLY  |
      | DROP_MESSAGE                      | CLAIM_REPLY  |
      | DUPLICATE_MESSAGE                 | CLAIM_REPLY  |
      | DELAY_MESSAGE                     | CLAIM_REPLY  |
      | STORE_OUTAGE                      | CLAIM_REPLY  |
      | DROP_STORE_REPLIES                | CLAIM_REPLY  |
      | FAIL_UPSTREAM_CALL                | CLAIM_REPLY  |
      | DRAIN_SIDECAR                     | CLAIM_REPLY  |
      | DUPLICATE_REQUESTS                | CLAIM_REPLY  |
      | KILL_SIDECAR                      | CALL_START   |
      | KILL_ENTRY                        | CALL_START   |
      | SUSPEND_SIDECAR_ONE_MINUTE        | CALL_START   |
      | SUSPEND_SIDECAR_PAST_CLAIM_WINDOW | CALL_START   |
      | CUT_LINK                          | CALL_START   |
      | DELAY_MESSAGE                     | CALL_START   |
      | STORE_OUTAGE                      | CALL_START   |
      | DROP_STORE_REPLIES                | CALL_START   |
      | FAIL_UPSTREAM_CALL                | CALL_START   |
      | DRAIN_SIDECAR                     | CALL_START   |
      | DUPLICATE_REQUESTS                | CALL_START   |
      | KILL_SIDECAR                      | CALL_RUNNING |
      | KILL_ENTRY                        | CALL_RUNNING |
      | SUSPEND_SIDECAR_ONE_MINUTE        | CALL_RUNNING |
      | SUSPEND_SIDECAR_PAST_CLAIM_WINDOW | CALL_RUNNING |
      | CUT_LINK                          | CALL_RUNNING |
      | DELAY_MESSAGE                     | CALL_RUNNING |
      | STORE_OUTAGE                      | CALL_RUNNING |
      | DROP_STORE_REPLIES                | CALL_RUNNING |
      | FAIL_UPSTREAM_CALL                | CALL_RUNNING |
      | DRAIN_SIDECAR                     | CALL_RUNNING |
      | DUPLICATE_REQUESTS                | CALL_RUNNING |
      | KILL_SIDECAR                      | ANSWER_HEAD  |
      | KILL_ENTRY                        | ANSWER_HEAD  |
      | SUSPEND_SIDECAR_ONE_MINUTE        | ANSWER_HEAD  |
      | SUSPEND_SIDECAR_PAST_CLAIM_WINDOW | ANSWER_HEAD  |
      | CUT_LINK                          | ANSWER_HEAD  |
      | DROP_MESSAGE                      | ANSWER_HEAD  |
      | DUPLICATE_MESSAGE                 | ANSWER_HEAD  |
      | DELAY_MESSAGE                     | ANSWER_HEAD  |
      | STORE_OUTAGE                      | ANSWER_HEAD  |
      | DROP_STORE_REPLIES                | ANSWER_HEAD  |
      | FAIL_UPSTREAM_CALL                | ANSWER_HEAD  |
      | DRAIN_SIDECAR                     | ANSWER_HEAD  |
      | DUPLICATE_REQUESTS                | ANSWER_HEAD  |
      | KILL_SIDECAR                      | ANSWER_CHUNK |
      | KILL_ENTRY                        | ANSWER_CHUNK |
      | SUSPEND_SIDECAR_ONE_MINUTE        | ANSWER_CHUNK |
      | SUSPEND_SIDECAR_PAST_CLAIM_WINDOW | ANSWER_CHUNK |
      | CUT_LINK                          | ANSWER_CHUNK |
      | DROP_MESSAGE                      | ANSWER_CHUNK |
      | DUPLICATE_MESSAGE                 | ANSWER_CHUNK |
      | DELAY_MESSAGE                     | ANSWER_CHUNK |
      | STORE_OUTAGE                      | ANSWER_CHUNK |
      | DROP_STORE_REPLIES                | ANSWER_CHUNK |
      | FAIL_UPSTREAM_CALL                | ANSWER_CHUNK |
      | DRAIN_SIDECAR                     | ANSWER_CHUNK |
      | DUPLICATE_REQUESTS                | ANSWER_CHUNK |
      | KILL_SIDECAR                      | ANSWER_END   |
      | KILL_ENTRY                        | ANSWER_END   |
      | SUSPEND_SIDECAR_ONE_MINUTE        | ANSWER_END   |
      | SUSPEND_SIDECAR_PAST_CLAIM_WINDOW | ANSWER_END   |
      | CUT_LINK                          | ANSWER_END   |
      | DROP_MESSAGE                      | ANSWER_END   |
      | DUPLICATE_MESSAGE                 | ANSWER_END   |
      | DELAY_MESSAGE                     | ANSWER_END   |
      | STORE_OUTAGE                      | ANSWER_END   |
      | DROP_STORE_REPLIES                | ANSWER_END   |
      | FAIL_UPSTREAM_CALL                | ANSWER_END   |
      | DRAIN_SIDECAR                     | ANSWER_END   |
      | DUPLICATE_REQUESTS                | ANSWER_END   |

  Scenario Outline: two faults at <point>
    When any two faults are injected at <point>
    Then no booking has run more than once, every answer is complete, and every not-run verdict is correct

    Examples:
      | point        |
      | ATTEMPT_SENT |
      | CLAIM_READ   |
      | CLAIM_WRITE  |
      | CLAIM_REPLY  |
      | CALL_START   |
      | CALL_RUNNING |
      | ANSWER_HEAD  |
      | ANSWER_CHUNK |
      | ANSWER_END   |
