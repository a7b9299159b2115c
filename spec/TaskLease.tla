----------------------------- MODULE TaskLease -----------------------------
(* Lifecycle of one task under worker leases and changes of owner.         *)
(*                                                                         *)
(* Each epoch has its own owner process. A process whose epoch is no       *)
(* longer current is no longer a confirmed member. It sends nothing more,  *)
(* but its start commands may still arrive, late and repeatedly, and a     *)
(* table write that it had decided on may still reach the platform.        *)
(* Responses to table writes may be lost. Workers may be unreachable for   *)
(* any time.                                                               *)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS
    Worker,
    MaxEpoch,
    MaxAttempt,
    LeaseTime,          \* ticks of a worker lease
    Fencing,            \* FALSE: workers accept starts of any epoch, without a lease
    WaitForLease,       \* FALSE: a silent worker's task is declared ended at once
    ConditionalWrites,  \* FALSE: writes do not check the row and the epoch
    StopBeforeRenewal   \* FALSE: a worker that is reachable again gets a lease before the stops that it missed

VARIABLES
    epoch,      \* epoch in the shard row
    row,        \* task row: state, attempt, worker
    memory,     \* memory[e]: the row as the owner of epoch e last knew it
    certain,    \* certain[e]: FALSE after a lost response, until the row has been read again
    ended,      \* highest attempt that the current owner knows to have ended
    owedStops,  \* workers that still have to be sent a stop: their attempt was declared ended without a response
    sentAge,    \* sentAge[w]: ticks since the current owner last sent a renewal to w
    highest,    \* highest[w]: highest epoch that w has seen
    lease,      \* lease[w]: epoch and remaining ticks
    nonce,      \* nonce[w]: newest nonce: epoch to which it was issued, age, whether its renewal has been sent
    running,    \* running[w]: attempt that w runs, 0 if none
    finished,   \* finished[w]: whether the highest attempt of w finished without a stop
    forbidden,  \* forbidden[w]: highest attempt whose start w refuses; it also refuses all lower ones
    starts,     \* start commands that have been sent
    started     \* attempts that were started anywhere

vars == <<epoch, row, memory, certain, ended, owedStops, sentAge, highest, lease, nonce, running, finished,
          forbidden, starts, started>>
workerVars == <<highest, lease, nonce, running, finished, forbidden>>
ownerVars == <<memory, certain, ended, owedStops, sentAge>>

Epochs == 1..MaxEpoch
Min(a, b) == IF a < b THEN a ELSE b
Max(a, b) == IF a < b THEN b ELSE a
NoWorker == "none"
Row(state, attempt, worker) == [state |-> state, attempt |-> attempt, worker |-> worker]
MaxAge == LeaseTime + 1

Init ==
    /\ epoch = 1
    /\ row = Row("PENDING", 1, NoWorker)
    /\ memory = [e \in Epochs |-> row]
    /\ certain = [e \in Epochs |-> TRUE]
    /\ ended = 0
    /\ owedStops = {}
    /\ sentAge = [w \in Worker |-> 0]
    /\ highest = [w \in Worker |-> 0]
    /\ lease = [w \in Worker |-> [epoch |-> 0, left |-> 0]]
    /\ nonce = [w \in Worker |-> [epoch |-> 0, age |-> LeaseTime, sent |-> FALSE]]
    /\ running = [w \in Worker |-> 0]
    /\ finished = [w \in Worker |-> FALSE]
    /\ forbidden = [w \in Worker |-> 0]
    /\ starts = {}
    /\ started = {}

(* A table write of owner e, conditional on the row and the epoch.         *)
Write(e, new) ==
    /\ e <= epoch
    /\ certain[e]
    /\ IF ~ConditionalWrites \/ (row = memory[e] /\ epoch = e)
       THEN /\ row' = new
            /\ \/ memory' = [memory EXCEPT ![e] = new] /\ UNCHANGED certain
               \* The response is lost.
               \/ /\ certain' = [certain EXCEPT ![e] = FALSE]
                  /\ UNCHANGED memory
       ELSE certain' = [certain EXCEPT ![e] = FALSE] /\ UNCHANGED <<row, memory>>
    /\ UNCHANGED <<epoch, ended, owedStops, sentAge, starts, started>>
    /\ UNCHANGED workerVars

ReadRow(e) ==
    /\ e = epoch /\ ~certain[e]
    /\ memory' = [memory EXCEPT ![e] = row]
    /\ certain' = [certain EXCEPT ![e] = TRUE]
    /\ UNCHANGED <<epoch, row, ended, owedStops, sentAge, starts, started>>
    /\ UNCHANGED workerVars

Assign(e, w) == memory[e].state = "PENDING" /\ Write(e, Row("ASSIGNED", memory[e].attempt, w))

(* The attempt has ended and its checkpoint is known, so that the next     *)
(* attempt may start.                                                      *)
Resume(e) ==
    /\ memory[e].state = "ASSIGNED" /\ memory[e].attempt < MaxAttempt
    /\ e = epoch => ended >= memory[e].attempt
    \* A process of an earlier epoch may have decided this before the change of owner.
    /\ e < epoch => ~ConditionalWrites
    /\ Write(e, Row("PENDING", memory[e].attempt + 1, NoWorker))

RecordDone(e) ==
    /\ e = epoch /\ memory[e].state = "ASSIGNED"
    /\ LET w == memory[e].worker
       IN highest[w] <= e /\ finished[w] /\ forbidden[w] = memory[e].attempt
    /\ Write(e, Row("DONE", memory[e].attempt, NoWorker))

SendStart(e) ==
    /\ e = epoch /\ certain[e] /\ memory[e].state = "ASSIGNED"
    /\ ended < memory[e].attempt
    /\ starts' = starts \cup {[epoch |-> e, attempt |-> memory[e].attempt, worker |-> memory[e].worker]}
    /\ UNCHANGED <<epoch, row, started>>
    /\ UNCHANGED ownerVars /\ UNCHANGED workerVars

(* Start commands stay in the set, since they may arrive at any time and   *)
(* more than once.                                                         *)
ReceiveStart(m) ==
    LET w == m.worker IN
    /\ Fencing => (m.epoch >= highest[w] /\ lease[w].epoch = m.epoch /\ lease[w].left > 0)
    /\ m.attempt > forbidden[w]
    /\ running' = [running EXCEPT ![w] = m.attempt]
    /\ finished' = [finished EXCEPT ![w] = FALSE]
    /\ forbidden' = [forbidden EXCEPT ![w] = m.attempt]
    /\ started' = started \cup {IF m.attempt \in started THEN 0 ELSE m.attempt}
    /\ highest' = [highest EXCEPT ![w] = Max(@, m.epoch)]
    /\ UNCHANGED <<epoch, row, starts, lease, nonce>>
    /\ UNCHANGED ownerVars

Finish(w) ==
    /\ running[w] # 0
    /\ finished' = [finished EXCEPT ![w] = TRUE]
    /\ running' = [running EXCEPT ![w] = 0]
    /\ UNCHANGED <<epoch, row, starts, started, highest, lease, nonce, forbidden>>
    /\ UNCHANGED ownerVars

Reaches(w) == Fencing => highest[w] <= epoch

(* A renewal without a nonce. It does not extend the lease but raises the  *)
(* highest epoch.                                                          *)
Contact(w) ==
    /\ Reaches(w)
    /\ highest' = [highest EXCEPT ![w] = epoch]
    /\ nonce' = [nonce EXCEPT ![w] = [epoch |-> epoch, age |-> 0, sent |-> FALSE]]
    /\ UNCHANGED <<epoch, row, starts, started, lease, running, finished, forbidden>>
    /\ UNCHANGED ownerVars

SendRenewal(w) ==
    /\ nonce[w].epoch = epoch /\ ~nonce[w].sent
    /\ StopBeforeRenewal => w \notin owedStops
    /\ nonce' = [nonce EXCEPT ![w].sent = TRUE]
    /\ sentAge' = [sentAge EXCEPT ![w] = 0]
    /\ UNCHANGED <<epoch, row, starts, started, highest, lease, running, finished, forbidden>>
    /\ UNCHANGED <<memory, certain, ended, owedStops>>

(* The lease is counted from the issue of the nonce. The response contains *)
(* a new nonce; if the response is lost, the owner uses Contact.           *)
ReceiveRenewal(w) ==
    /\ nonce[w].sent /\ nonce[w].epoch = highest[w]
    /\ lease' = [lease EXCEPT ![w] =
           IF nonce[w].age < LeaseTime THEN [epoch |-> nonce[w].epoch, left |-> LeaseTime - nonce[w].age] ELSE @]
    /\ nonce' = [nonce EXCEPT ![w].age = 0, ![w].sent = FALSE]
    /\ UNCHANGED <<epoch, row, starts, started, highest, running, finished, forbidden>>
    /\ UNCHANGED ownerVars

(* The worker acknowledges a stop: the attempt has ended and never starts  *)
(* again.                                                                  *)
Stop(w) ==
    /\ Reaches(w) /\ certain[epoch]
    /\ LET current == memory[epoch]
           attempt == IF current.state = "ASSIGNED" /\ current.worker = w THEN current.attempt ELSE ended
       IN /\ attempt > 0
          /\ running' = [running EXCEPT ![w] = IF @ <= attempt THEN 0 ELSE @]
          /\ forbidden' = [forbidden EXCEPT ![w] = Max(@, attempt)]
          /\ finished' = [finished EXCEPT ![w] = @ /\ forbidden[w] >= attempt]
          /\ ended' = Max(ended, attempt)
    /\ highest' = [highest EXCEPT ![w] = epoch]
    /\ owedStops' = owedStops \ {w}
    /\ UNCHANGED <<epoch, row, memory, certain, sentAge, starts, started, lease, nonce>>

(* The worker has not responded for longer than any lease can last.        *)
DeclareEnded ==
    /\ certain[epoch] /\ memory[epoch].state = "ASSIGNED"
    /\ ended < memory[epoch].attempt
    /\ LET w == memory[epoch].worker
       IN /\ WaitForLease => sentAge[w] >= MaxAge
          /\ owedStops' = owedStops \cup {w}
    /\ ended' = memory[epoch].attempt
    /\ UNCHANGED <<epoch, row, memory, certain, sentAge, starts, started>>
    /\ UNCHANGED workerVars

Takeover ==
    /\ epoch < MaxEpoch
    /\ epoch' = epoch + 1
    /\ memory' = [memory EXCEPT ![epoch + 1] = row]
    /\ ended' = 0
    /\ owedStops' = {}
    /\ sentAge' = [w \in Worker |-> 0]
    /\ UNCHANGED <<row, certain, starts, started>>
    /\ UNCHANGED workerVars

Tick ==
    /\ sentAge' = [w \in Worker |-> Min(sentAge[w] + 1, MaxAge)]
    /\ nonce' = [w \in Worker |-> [nonce[w] EXCEPT !.age = Min(@ + 1, LeaseTime)]]
    /\ lease' = [w \in Worker |-> IF lease[w].left > 1 THEN [lease[w] EXCEPT !.left = @ - 1]
                                  ELSE [epoch |-> 0, left |-> 0]]
    /\ running' = [w \in Worker |-> IF Fencing /\ lease[w].left <= 1 THEN 0 ELSE running[w]]
    /\ UNCHANGED <<epoch, row, memory, certain, ended, owedStops, starts, started, highest, finished, forbidden>>

Next ==
    \/ \E e \in Epochs : \/ Resume(e) \/ RecordDone(e) \/ SendStart(e) \/ ReadRow(e)
                         \/ \E w \in Worker : Assign(e, w)
    \/ \E m \in starts : ReceiveStart(m)
    \/ \E w \in Worker : Finish(w) \/ Contact(w) \/ SendRenewal(w) \/ ReceiveRenewal(w) \/ Stop(w)
    \/ DeclareEnded
    \/ Takeover
    \/ Tick

Spec == Init /\ [][Next]_vars

(* The task never runs on two workers at once.                             *)
OnePlace == Cardinality({w \in Worker : running[w] # 0}) <= 1
(* Each attempt, and so each resumption, starts at most once.              *)
StartsOnce == 0 \notin started
(* A task whose row is DONE does not run.                                  *)
DoneIsFinal == row.state = "DONE" => \A w \in Worker : running[w] = 0

(* A row never returns to a lower attempt or to an earlier state of the    *)
(* same attempt.                                                           *)
Rank(r) == 3 * r.attempt + (CASE r.state = "PENDING" -> 0 [] r.state = "ASSIGNED" -> 1 [] OTHER -> 2)
RowMovesForward == [][Rank(row') >= Rank(row)]_vars

Symmetry == Permutations(Worker)
=============================================================================
