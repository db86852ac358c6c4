/* A model of how the schema migrates to a new level, for Spin: claims, the migration, leaders that
 * are paused, transactions that are applied late, processes that die and come back as another
 * version. Checked over all interleavings of a few events:
 *   - no process that supports levels writes an old record once the migration is durable, neither a
 *     leader nor any node that accepts a submission, however long it was paused;
 *   - the migration is applied only while the claim of each node says that its process supports the
 *     new level;
 *   - a leader that was replaced changes nothing.
 * scripts/model also runs the model without each precondition in turn, which has to fail. A leader's
 * transactions have two, leadership and level; one of them alone would suffice while at most one of
 * its transactions is pending. The protocol is in schema.h and schema_version_tracker.h. A claim may
 * outlive its process; a later process on the node, of any version, replaces it before it serves. */

#ifndef LEADER_HOLDS
#define LEADER_HOLDS (leader_tx_leadership == leadership && leader_tx_level == level_revision)
#endif
#ifndef USER_HOLDS
#define USER_HOLDS (user_tx_level == level_revision)
#endif
#ifndef CLAIMS_HOLD
#define CLAIMS_HOLD (leader_tx_claim[0] == claim_revision[0] && leader_tx_claim[1] == claim_revision[1])
#endif

#define NODES 2
#define MAX_DEATHS 2      /* in all */
#define MAX_DECISIONS 2   /* of leaders, in all */
#define MAX_SUBMISSIONS 1 /* in all */
#define NONE 255

byte store_revision = 1;      /* of the key-value store */
bool level_new = false;       /* the record `level` */
byte level_revision = 0;
byte leadership = 0;          /* revision of the record `leader`; 0: there is none */
byte leader_node = NONE;      /* the node that the record names */
bool claimed_new[NODES];      /* whether the node's claim supports the new level */
byte claim_revision[NODES];

bool supports_new[NODES];     /* the live process on the node */
bool incompatible[NODES];
byte deaths = 0, decisions = 0, submissions = 0;

/* At most one transaction of a leader is pending, and at most one of a submission. */
bool leader_tx_pending = false, leader_tx_is_migration, leader_tx_writes_new;
byte leader_tx_leadership, leader_tx_level, leader_tx_claim[NODES];
bool user_tx_pending = false, user_tx_writes_new;
byte user_tx_level;

inline next_revision() { store_revision = store_revision + 1 }

/* The process on the node reads `level` before it does anything else, and writes its claim. */
inline start_process(n, as_new) {
  d_step {
    supports_new[n] = as_new;
    next_revision();
    claimed_new[n] = as_new;
    claim_revision[n] = store_revision;
    incompatible[n] = level_new && !as_new
  }
}

active proctype key_value_store() {
  do
  :: d_step { leader_tx_pending ->
       if
       :: LEADER_HOLDS &&
          (!leader_tx_is_migration || CLAIMS_HOLD) ->
            next_revision();
            if
            :: leader_tx_is_migration ->
                 assert(claimed_new[0] && claimed_new[1]);
                 level_new = true;
                 level_revision = store_revision
            :: else -> assert(leader_tx_writes_new == level_new)
            fi
       :: else -> skip
       fi;
       leader_tx_pending = false
     }
  :: d_step { user_tx_pending ->
       if
       :: USER_HOLDS -> next_revision(); assert(user_tx_writes_new == level_new)
       :: else -> skip
       fi;
       user_tx_pending = false
     }
  :: d_step { leadership != 0 && deaths < MAX_DEATHS ->
       leadership = 0; leader_node = NONE; deaths = deaths + 1 }
  od
}

/* Nodes die and come back, as any version, between any two actions. */
active [NODES] proctype node() {
  byte me = _pid - 1;
  byte known_level, own_leadership, seen_claim[NODES];
  bool known_new;
  start_process(me, false);
  do
  :: deaths < MAX_DEATHS -> atomic {
       deaths = deaths + 1;
       if
       :: start_process(me, true)
       :: start_process(me, false)
       fi;
       own_leadership = 0
     }
  /* Becomes the leader; reads the level once its leadership is stored. */
  :: atomic { leadership == 0 && !incompatible[me] && decisions < MAX_DECISIONS ->
       decisions = decisions + 1; next_revision();
       leadership = store_revision; leader_node = me; own_leadership = store_revision };
     d_step { known_level = level_revision; known_new = level_new;
              incompatible[me] = level_new && !supports_new[me] };
     if
     :: incompatible[me] -> skip
     :: else ->
        if
        :: /* writes a record of the level that it knows, perhaps much later */
           atomic { !leader_tx_pending ->
             leader_tx_is_migration = false; leader_tx_writes_new = known_new;
             leader_tx_leadership = own_leadership; leader_tx_level = known_level;
             leader_tx_pending = true }
        :: /* reads the claims one after another, and migrates */
           seen_claim[0] = (claimed_new[0] -> claim_revision[0] : 0);
           seen_claim[1] = (claimed_new[1] -> claim_revision[1] : 0);
           atomic { !leader_tx_pending ->
             if
             :: seen_claim[0] != 0 && seen_claim[1] != 0 && !known_new && supports_new[me] ->
                  leader_tx_is_migration = true;
                  leader_tx_leadership = own_leadership; leader_tx_level = known_level;
                  leader_tx_claim[0] = seen_claim[0]; leader_tx_claim[1] = seen_claim[1];
                  leader_tx_pending = true
             :: else -> skip
             fi }
        fi
     fi
  /* Accepts a submission: reads the level, is paused for any time, writes. */
  :: submissions < MAX_SUBMISSIONS && !incompatible[me] ->
     d_step { submissions = submissions + 1; known_level = level_revision; known_new = level_new;
              incompatible[me] = level_new && !supports_new[me] };
     if
     :: incompatible[me] -> skip
     :: else ->
        atomic { !user_tx_pending ->
          user_tx_writes_new = known_new; user_tx_level = known_level; user_tx_pending = true }
     fi
  od
}
