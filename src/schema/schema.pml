/* Claims, the step to a new form, leaders that stand still, transactions applied late, processes
 * that die and come back as other versions. Checked over all interleavings of a few events:
 *   - whoever knows of levels writes no old form once the step is durable, neither a leader nor the
 *     users' door of any node, however long it stood still;
 *   - the step is applied only while each node's claim says that its process speaks the new form;
 *   - a leader that was replaced changes nothing.
 * Each condition is left out in a run of its own (scripts/model), which has to fail; of a leader's
 * two, baton and level, one alone would do while it has one transaction on its way at a time.
 * Source of the protocol: levels.h. A claim may outlive its process; a later one on the node, of
 * whatever version, puts its own in its place before it serves. */

#ifndef LEADER_HOLDS
#define LEADER_HOLDS (leaders_baton == baton && leaders_level == level_stamp)
#endif
#ifndef USER_HOLDS
#define USER_HOLDS (users_level == level_stamp)
#endif
#ifndef CLAIMS_HOLD
#define CLAIMS_HOLD (leaders_claim[0] == claim_stamp[0] && leaders_claim[1] == claim_stamp[1])
#endif

#define NODES 2
#define EVENTS 2 /* deaths, in all */
#define MOVES 2  /* leaders' decisions, in all */
#define ASKS 1   /* submissions, in all */
#define NONE 255

byte stamp = 1;         /* revision of the state service */
bool level_new = false; /* the record `level` */
byte level_stamp = 0;
byte baton = 0;   /* stamp of `leader`; 0: vacant */
byte seat = NONE; /* whose baton it is */
bool claims_new[NODES];
byte claim_stamp[NODES];

bool speaks_new[NODES]; /* the process that lives on the node */
bool locked[NODES];
byte deaths = 0, moves = 0, asks = 0;

/* At most one transaction of a leader is on its way, at most one of a user. */
bool leaders_on_way = false, leaders_is_step, leaders_form_new;
byte leaders_baton, leaders_level, leaders_claim[NODES];
bool users_on_way = false, users_form_new;
byte users_level;

inline next() { stamp = stamp + 1 }

/* The process on the node reads `level` before it does anything, and claims. */
inline begin_process(n, as_new) {
  d_step {
    speaks_new[n] = as_new;
    next();
    claims_new[n] = as_new;
    claim_stamp[n] = stamp;
    locked[n] = level_new && !as_new
  }
}

active proctype service(){
    do ::d_step{leaders_on_way->if ::LEADER_HOLDS && (!leaders_is_step || CLAIMS_HOLD)->next();
if
  ::leaders_is_step->assert(claims_new[0] && claims_new[1]);
level_new = true;
level_stamp = stamp ::else->assert(leaders_form_new == level_new) fi ::else->skip fi;
leaders_on_way = false
}
::d_step {
  users_on_way->if ::USER_HOLDS->next();
  assert(users_form_new == level_new)::else->skip fi;
  users_on_way = false
}
::d_step {
  baton != 0 && deaths < EVENTS->baton = 0;
  seat = NONE;
  deaths = deaths + 1
}
od
}

/* Nodes die and come back, as any version, between any two steps of what they did. */
active[NODES] proctype node() {
  byte me = _pid - 1;
  byte known_level, my_baton, seen[NODES];
  bool known_new;
  begin_process(me, false);
  do ::deaths < EVENTS->atomic {
      deaths = deaths + 1;
      if
        ::begin_process(me, true)::begin_process(me, false) fi;
      my_baton = 0
    }
  /* Takes the lead; reads the level after it has the baton. */
  ::atomic {
    baton == 0 && !locked[me]&& moves < MOVES->moves = moves + 1;
    next();
    baton = stamp;
    seat = me;
    my_baton = stamp
  };
  d_step {
    known_level = level_stamp;
    known_new = level_new;
    locked[me] = level_new && !speaks_new[me]
  };
  if
    ::locked[me]->skip ::else->if ::/* writes a record in the form of the level that it knows,
                                       perhaps much later */
        atomic {
      !leaders_on_way->leaders_is_step = false;
      leaders_form_new = known_new;
      leaders_baton = my_baton;
      leaders_level = known_level;
      leaders_on_way = true
    }
  ::/* reads the claims one after another, and steps */
      seen[0] = (claims_new[0]->claim_stamp[0] : 0);
  seen[1] = (claims_new[1]->claim_stamp[1] : 0);
  atomic {
    !leaders_on_way->if ::seen[0] != 0 && seen[1] != 0 && !known_new &&
        speaks_new[me]->leaders_is_step = true;
    leaders_baton = my_baton;
    leaders_level = known_level;
    leaders_claim[0] = seen[0];
    leaders_claim[1] = seen[1];
    leaders_on_way = true ::else->skip fi
  }
  fi fi
          /* The users' door: looks at the level, stands still for any time, writes. */
          ::asks < ASKS &&
      !locked[me]->d_step {
    asks = asks + 1;
    known_level = level_stamp;
    known_new = level_new;
    locked[me] = level_new && !speaks_new[me]
  };
  if
    ::locked[me]->skip ::else->atomic {
      !users_on_way->users_form_new = known_new;
      users_level = known_level;
      users_on_way = true
    }
  fi od
}
