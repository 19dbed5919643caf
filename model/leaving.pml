/* What a backend server says of leaving in its answers, beside what the store lists.
 *
 * A server has two processes, one after the other, under one name and address. Each may say in an answer that it leaves. The store
 * lists the server, loses its entry and lists it again, and its facts reach the control goroutine late. Two traffic goroutines
 * place requests by the view, open a connection, check again and send. What an answer says is recorded in the gauge of the
 * process, which the control goroutine retains while the entry is missing.
 *
 * Property (assertion): a request is sent to no process of which this instance has passed on an answer that says that it leaves.
 *
 * Broken variants, each of which must violate the property:
 *   FORGET_GAUGE  a server that is listed again gets a new gauge
 *   NO_CHECK      the gauge is not checked again once the connection is open
 *   ANSWER_FIRST  the answer is passed on before the gauge is set
 */
#define PROCESSES 3      /* numbers 1 and 2; 0 stands for none */
#define GAUGES 8

byte current = 1;        /* process that runs now */
bool says[PROCESSES];    /* the process says that it leaves */
bool passed[PROCESSES];  /* the instance has passed on an answer of the process that says so */
bool leaving[GAUGES];
byte gaugeOf[PROCESSES]; /* gauge that the control goroutine has for the process; 0 for none */
byte lastGauge;
byte viewProcess;        /* published view; 0 when the server is not listed */
byte viewGauge;
chan facts = [2] of { byte }; /* listed process, or 0 when the entry is missing */

proctype Server() {
  do
  :: !says[current] -> says[current] = true
  :: current == 1 -> current = 2
  :: timeout -> break
  od
}

proctype Store() {
  byte sent;
  do
  :: sent < 4 -> facts!current; sent++
  :: sent < 4 -> facts!0; sent++
  :: sent == 4 -> break
  od
}

proctype Control() {
  byte listed;
  do
  :: facts?listed ->
       atomic {
         if
         :: listed == 0 -> viewProcess = 0
         :: else ->
              if
#ifdef FORGET_GAUGE
              :: viewProcess != listed ->
#else
              :: gaugeOf[listed] == 0 ->
#endif
                   lastGauge++; gaugeOf[listed] = lastGauge
              :: else
              fi;
              viewProcess = listed; viewGauge = gaugeOf[listed]
         fi;
         listed = 0
       }
  :: timeout -> break
  od
}

proctype Traffic() {
  byte process, gauge, requests;
  bool says_so;
  do
  :: requests == 2 -> break
  :: requests < 2 ->
       requests++;
       says_so = false;
       atomic { process = viewProcess; gauge = viewGauge }
       if
       :: process == 0 || leaving[gauge]      /* no candidate: refused */
       :: else ->
            skip;                             /* the connection is opened */
            atomic {
              if
#ifndef NO_CHECK
              :: leaving[gauge]               /* withdrawn */
#endif
              :: process != current           /* another process has the address: not run */
#ifdef NO_CHECK
              :: process == current ->
#else
              :: process == current && !leaving[gauge] ->
#endif
                   assert(!passed[process]);
                   says_so = says[process]
              fi
            }
            if
            :: says_so ->
#ifdef ANSWER_FIRST
                 passed[process] = true;
                 leaving[gauge] = true
#else
                 leaving[gauge] = true;
                 passed[process] = true
#endif
            :: else
            fi
       fi
  od
}

init { atomic { run Server(); run Store(); run Control(); run Traffic(); run Traffic() } }
