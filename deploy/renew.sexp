; The whole fleet anew, in steps, a tenth of each team's work at a time: all machines older than two
; minutes. For measuring; operators renew by a much greater age, or by a serial (docs/operators/draining.md).
(policy
  (drains
    (serial 1)
    (budget (down 0.1))
    (replace (older-than-s 120))
    (steps (first 2) (most 0.2) (settle-s 10))))
