/* Relays of the store's changes from two readers to one instance (docs/platform.md).
 *
 * A reader watches the store and sends each change as (after, to). It may be cut from the store without noticing; its lease
 * then cannot be renewed, and it ends its stream. A stream may end at any time, with what was on its way. An instance that
 * hears both readers makes no calls; otherwise it watches the store. A message that begins after what the instance knows
 * leads to a listing. A reader repeats its revision while nothing changes.
 *
 * Properties (assertions): whole: an instance at revision r has all changes up to r. current: when nothing more can happen,
 * the instance is at the store's revision.
 *
 * Broken variants, each of which must violate a property:
 *   IGNORE_GAP   a message that begins later is applied like any other
 *   KEEP_TRUST   a reader that is cut from the store keeps its stream
 *   NO_REPEAT    a reader sends changes only, and does not repeat its revision
 */
#define CHANGES 3
#define READERS 2

byte rev;                       /* of the store */
byte at[READERS];               /* known to each reader */
bool cut[READERS];              /* from the store */
bool up[READERS];               /* the instance hears the reader */
byte known;                     /* revision of the instance */
bool has[CHANGES + 1];          /* changes that the instance has */
byte breaks;                    /* streams that have ended for no reason */
chan stream0 = [2] of { byte, byte };
chan stream1 = [2] of { byte, byte };

#define covered (up[0] && up[1])

inline read_store() {           /* a listing, or a watch from the known revision on */
  for (i : 1 .. rev) { has[i] = true }
  known = rev
}

inline check_whole() {
  for (i : 1 .. known) { assert(has[i]) }
}

inline end_stream(r, stream) {
  up[r] = false;
  do :: nempty(stream) -> stream ? after, to :: empty(stream) -> break od
}

active proctype Store() {
  do
  :: rev < CHANGES -> rev++
  :: rev == CHANGES -> break
  od
}

proctype Reader(byte r; chan stream) {
  byte after, to;
  bool may_be_cut;
  if :: may_be_cut = true :: may_be_cut = false fi;
end:
  do
  :: atomic { !cut[r] && at[r] < rev ->           /* the watch brings changes */
       if
       :: up[r] && nfull(stream) -> stream ! at[r], rev
       :: up[r] && full(stream) -> end_stream(r, stream)
       :: !up[r]
       fi;
       at[r] = rev }
  :: atomic { !up[r] && !cut[r] -> up[r] = true;   /* the instance subscribes */
#ifndef NO_REPEAT
       stream ! at[r], at[r]
#endif
     }
#ifndef NO_REPEAT
  :: atomic { up[r] && empty(stream) && at[r] > known -> stream ! at[r], at[r] }
#endif
  :: atomic { may_be_cut && !cut[r] -> cut[r] = true }
#ifndef KEEP_TRUST
  :: atomic { cut[r] && up[r] -> end_stream(r, stream) }
#endif
  :: atomic { up[r] && breaks < 2 -> breaks++; end_stream(r, stream) }
  od
}

active proctype Instance() {
  byte after, to, i;
again:
  do
  :: atomic { !covered && known < rev -> read_store(); check_whole() }
  :: atomic { covered && nempty(stream0) -> stream0 ? after, to; goto apply }
  :: atomic { covered && nempty(stream1) -> stream1 ? after, to; goto apply }
  :: atomic { !covered && nempty(stream0) -> stream0 ? after, to } /* not followed now */
  :: atomic { !covered && nempty(stream1) -> stream1 ? after, to }
  :: atomic { timeout -> assert(known == rev) }
  od;
apply:
  atomic {
    if
    :: to <= known
#ifndef IGNORE_GAP
    :: to > known && after > known -> read_store()
    :: to > known && after <= known ->
#else
    :: to > known ->
#endif
       for (i : after + 1 .. to) { has[i] = true }
       known = to
    fi;
    check_whole();
    after = 0; to = 0
  }
  goto again
}

init { atomic { run Reader(0, stream0); run Reader(1, stream1) } }
