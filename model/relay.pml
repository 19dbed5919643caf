/* Relays of the store's changes from two readers to one instance (docs/platform.md).
 *
 * A reader watches the store and sends each change as (after, to), the revisions before and after it. It may be
 * disconnected from the store without noticing; its lease then cannot be renewed, and it ends its stream. A stream may end
 * at any time; the messages in transit are lost. An instance with streams from both readers does not call the store;
 * otherwise it watches the store. When a message starts after the instance's revision, the instance lists the store. A
 * reader repeats its revision while nothing changes.
 *
 * Properties (assertions): whole: an instance at revision r has all changes up to r. current: when no more steps are
 * possible, the instance is at the store's revision.
 *
 * Broken variants, each of which must violate a property:
 *   IGNORE_GAP   a message that starts after the instance's revision is applied like any other
 *   KEEP_TRUST   a reader that is disconnected from the store keeps its stream
 *   NO_REPEAT    a reader sends changes only, and does not repeat its revision
 */
#define CHANGES 3
#define READERS 2

byte rev;                       /* revision of the store */
byte reader_rev[READERS];       /* revision of each reader */
bool disconnected[READERS];     /* the reader is disconnected from the store */
bool streaming[READERS];        /* the instance has a stream from the reader */
byte known;                     /* revision of the instance */
bool has[CHANGES + 1];          /* changes that the instance has */
byte stream_ends;               /* number of streams that ended without a cause */
chan stream0 = [2] of { byte, byte };
chan stream1 = [2] of { byte, byte };

#define both_streaming (streaming[0] && streaming[1])

inline read_store() {           /* a listing, or a watch from the known revision on */
  for (i : 1 .. rev) { has[i] = true }
  known = rev
}

inline check_whole() {
  for (i : 1 .. known) { assert(has[i]) }
}

inline end_stream(r, stream) {
  streaming[r] = false;
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
  bool may_disconnect;
  if :: may_disconnect = true :: may_disconnect = false fi;
end:
  do
  :: atomic { !disconnected[r] && reader_rev[r] < rev ->   /* the watch delivers changes */
       if
       :: streaming[r] && nfull(stream) -> stream ! reader_rev[r], rev
       :: streaming[r] && full(stream) -> end_stream(r, stream)
       :: !streaming[r]
       fi;
       reader_rev[r] = rev }
  :: atomic { !streaming[r] && !disconnected[r] -> streaming[r] = true;   /* the instance subscribes */
#ifndef NO_REPEAT
       stream ! reader_rev[r], reader_rev[r]
#endif
     }
#ifndef NO_REPEAT
  :: atomic { streaming[r] && empty(stream) && reader_rev[r] > known -> stream ! reader_rev[r], reader_rev[r] }
#endif
  :: atomic { may_disconnect && !disconnected[r] -> disconnected[r] = true }
#ifndef KEEP_TRUST
  :: atomic { disconnected[r] && streaming[r] -> end_stream(r, stream) }
#endif
  :: atomic { streaming[r] && stream_ends < 2 -> stream_ends++; end_stream(r, stream) }
  od
}

active proctype Instance() {
  byte after, to, i;
again:
  do
  :: atomic { !both_streaming && known < rev -> read_store(); check_whole() }
  :: atomic { both_streaming && nempty(stream0) -> stream0 ? after, to; goto apply }
  :: atomic { both_streaming && nempty(stream1) -> stream1 ? after, to; goto apply }
  :: atomic { !both_streaming && nempty(stream0) -> stream0 ? after, to } /* the instance watches the store: drop the message */
  :: atomic { !both_streaming && nempty(stream1) -> stream1 ? after, to }
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
