----------------------------- MODULE Ownership -----------------------------
(* Membership and ownership of one shard in one region.                    *)
(*                                                                         *)
(* Time advances in ticks. In each tick an arbitrary set of nodes reads    *)
(* the platform, the heartbeats of an arbitrary subset of them are         *)
(* confirmed, and the counters of arbitrary nodes may increase by delayed  *)
(* heartbeats whose response is lost. This covers crashes, pauses, network *)
(* partitions, platform outages, lost and late responses, and all          *)
(* combinations of them. Ages are measured on each node's monotonic clock, *)
(* which also advances while the node is paused.                           *)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS
    Node,           \* the nodes of the region
    HoldTime,       \* membership lease: ticks for which a node relies on a confirmation or on evidence
    TakeTime,       \* takeover timeout: ticks of silence before a takeover
    OutageGrace,    \* maximum time in an outage, in ticks
    RejectIsolatedPeers,    \* FALSE: an isolated peer gives outage evidence
    KeepPromises,   \* FALSE: a node gives evidence also to a member whose silence it recorded
    RestBeforeRecord,       \* FALSE: a node records a silence without a delay after it gave evidence
    WaitForRecords, \* FALSE: a takeover does not wait until the other members recorded the silence
    CheckCounter    \* FALSE: a takeover ignores that the owner's counter has increased

VARIABLES
    confirmedAge,   \* ticks since the newest confirmed heartbeat was sent
    evidenceAge,    \* ticks since the newest outage evidence was requested
    promises,       \* promises[n]: members whose silence n recorded; n gives them no evidence
    givenAge,       \* givenAge[n]: ticks since n gave evidence to the owner
    records,        \* nodes whose row records the silence of the owner
    counterAge,     \* counterAge[n]: ticks since n first saw the owner's counter
    gone,           \* nodes whose row is GONE
    owner,          \* owner in the shard row
    believes        \* nodes that consider themselves the owner of the shard

vars == <<confirmedAge, evidenceAge, promises, givenAge, records, counterAge, gone, owner, believes>>

Min(a, b) == IF a < b THEN a ELSE b
MaxCounterAge == OutageGrace + TakeTime

Confirmed(n) == confirmedAge[n] < HoldTime
Outage(n) == ~Confirmed(n) /\ evidenceAge[n] < HoldTime /\ confirmedAge[n] < OutageGrace
InGoodStanding(n) == Confirmed(n) \/ Outage(n)
MayAct(n) == n \in believes /\ InGoodStanding(n)

Init ==
    /\ confirmedAge = [n \in Node |-> 0]
    /\ evidenceAge = [n \in Node |-> HoldTime]
    /\ promises = [n \in Node |-> {}]
    /\ givenAge = [n \in Node |-> HoldTime + 1]
    /\ records = {}
    /\ counterAge = [n \in Node |-> 0]
    /\ gone = {}
    /\ owner \in Node
    /\ believes = {owner}

(* Parameters of a tick. reads: nodes whose poll succeeded, directly or    *)
(* through a peer. confirmed: nodes whose heartbeat was confirmed. late:   *)
(* nodes whose counter increases by a heartbeat that is not confirmed.     *)
GivesEvidence(m, n, reads) ==
    /\ m # n /\ m \notin reads
    /\ KeepPromises => n \notin promises[m]
    /\ RejectIsolatedPeers => InGoodStanding(m)

(* All possible evidence is given, which is the worst case, since evidence *)
(* only extends the time for which nodes act.                              *)
GotEvidence(reads) == {n \in Node \ reads : \E m \in Node : GivesEvidence(m, n, reads)}

Records(n, confirmed) ==
    /\ n \in confirmed /\ n # owner /\ owner \notin gone
    /\ counterAge[n] >= 1
    /\ RestBeforeRecord => givenAge[n] > HoldTime

Tick(reads, confirmed, late) ==
    \E moved \in {(confirmed \cup late) \ gone} :
    \E gotEvidence \in {GotEvidence(reads)} :
    \E newPromises \in {[n \in Node |->
        (IF Records(n, confirmed) THEN promises[n] \cup {owner} ELSE promises[n]) \ moved]} :
    \E void \in {(owner \in moved) \/ (owner \in gone)} :
        /\ confirmed \subseteq reads \ gone
        /\ confirmedAge' = [n \in Node |->
               IF n \in confirmed THEN 0 ELSE Min(confirmedAge[n] + 1, OutageGrace)]
        /\ evidenceAge' = [n \in Node |->
               IF n \in gotEvidence THEN 0 ELSE Min(evidenceAge[n] + 1, HoldTime)]
        /\ promises' = newPromises
        /\ givenAge' = [n \in Node |->
               IF n # owner /\ GivesEvidence(n, owner, reads) THEN 0 ELSE Min(givenAge[n] + 1, HoldTime + 1)]
        /\ counterAge' = [n \in Node |->
               IF void THEN IF CheckCounter THEN 0 ELSE counterAge[n]
               ELSE Min(counterAge[n] + 1, MaxCounterAge)]
        /\ records' = IF void THEN IF CheckCounter THEN {} ELSE records
               ELSE (records \ moved) \cup {n \in moved : owner \in newPromises[n]}
        /\ gone' = gone \ reads
        /\ believes' = believes \ (gone \cap reads)
        /\ UNCHANGED owner

(* A new process starts on the VM of n. It has no state, and nothing is    *)
(* confirmed until it has read the platform.                               *)
Restart(n) ==
    /\ confirmedAge[n] < OutageGrace
    /\ confirmedAge' = [confirmedAge EXCEPT ![n] = OutageGrace]
    /\ evidenceAge' = [evidenceAge EXCEPT ![n] = HoldTime]
    /\ promises' = [promises EXCEPT ![n] = {}]
    /\ givenAge' = [givenAge EXCEPT ![n] = 0]
    /\ counterAge' = [counterAge EXCEPT ![n] = 0]
    /\ believes' = believes \ {n}
    /\ UNCHANGED <<records, gone, owner>>

(* A restarted owner acquires its own shard again after a confirmed poll.  *)
Readopt(n) ==
    /\ owner = n /\ n \notin gone /\ n \notin believes /\ confirmedAge[n] = 0
    /\ believes' = believes \cup {n}
    /\ UNCHANGED <<confirmedAge, evidenceAge, promises, givenAge, records, counterAge, gone, owner>>

ChangeOwner(o) ==
    /\ owner' = o
    /\ records' = {}
    /\ counterAge' = [n \in Node |-> 0]
    /\ givenAge' = [n \in Node |-> 0]
    /\ UNCHANGED <<confirmedAge, evidenceAge, promises>>

(* Marks the silent owner GONE and acquires its shard.                     *)
Takeover(o) ==
    /\ o # owner /\ o \notin gone /\ owner \notin gone
    /\ Confirmed(o)
    /\ \/ /\ counterAge[o] >= TakeTime
          /\ WaitForRecords => Node \ (gone \cup {owner}) \subseteq records
       \/ counterAge[o] >= OutageGrace + TakeTime
    /\ gone' = gone \cup {owner}
    /\ believes' = believes \cup {o}
    /\ ChangeOwner(o)

(* Planned handover: the old owner releases the shard before the new owner *)
(* acquires it.                                                            *)
Handover(o) ==
    /\ o # owner /\ owner \in believes /\ gone = {}
    /\ confirmedAge[owner] = 0 /\ confirmedAge[o] = 0
    /\ believes' = (believes \ {owner}) \cup {o}
    /\ UNCHANGED gone
    /\ ChangeOwner(o)

Next ==
    \/ \E reads \in SUBSET Node : \E confirmed \in SUBSET reads :
           \E late \in {{}, Node \ (gone \cup confirmed)} : Tick(reads, confirmed, late)
    \/ \E o \in Node : Takeover(o) \/ Handover(o) \/ Restart(o) \/ Readopt(o)

Spec == Init /\ [][Next]_vars

(* At most one node may act for the shard at any time.                     *)
OneActingOwner == \A a, b \in Node : MayAct(a) /\ MayAct(b) => a = b

Symmetry == Permutations(Node)
=============================================================================
