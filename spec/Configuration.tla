--------------------------- MODULE Configuration ---------------------------
(* Versions of the configuration: concurrent changes by operators, lost    *)
(* responses, and nodes that learn of versions from the platform and from  *)
(* each other after any delay.                                             *)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS
    Node,
    Operator,       \* each operator makes one change
    CheckVersion,   \* FALSE: a change does not check the version that it is based on
    ReadBack,       \* FALSE: a change whose response was lost is written again without a check
    NeverLower      \* FALSE: a node installs every version that arrives, also a lower one

VARIABLES
    current,    \* version in the platform's table
    content,    \* content[v]: the changes that version v contains
    based,      \* based[o]: version that operator o read, 0 before the read
    phase,      \* phase[o]: IDLE, READ, UNKNOWN, ACCEPTED
    installed,  \* version in force on each node
    messages    \* versions sent to nodes; they may arrive late and more than once

vars == <<current, content, based, phase, installed, messages>>
Versions == 0..(2 * Cardinality(Operator))

Init ==
    /\ current = 0
    /\ content = [v \in Versions |-> {}]
    /\ based = [o \in Operator |-> 0]
    /\ phase = [o \in Operator |-> "IDLE"]
    /\ installed = [n \in Node |-> 0]
    /\ messages = {}

Read(o) ==
    /\ phase[o] = "IDLE"
    /\ based' = [based EXCEPT ![o] = current]
    /\ phase' = [phase EXCEPT ![o] = "READ"]
    /\ UNCHANGED <<current, content, installed, messages>>

Apply(o, base) ==
    /\ current + 1 \in Versions
    /\ current' = current + 1
    /\ content' = [content EXCEPT ![current + 1] = content[base] \cup {o}]
    /\ UNCHANGED <<based, installed, messages>>

(* Compare-and-set on the version; the response may be lost.               *)
Write(o) ==
    /\ phase[o] = "READ"
    /\ IF CheckVersion => based[o] = current
       THEN /\ Apply(o, based[o])
            /\ \E p \in {"ACCEPTED", "UNKNOWN"} : phase' = [phase EXCEPT ![o] = p]
       ELSE /\ phase' = [phase EXCEPT ![o] = "IDLE"]
            /\ UNCHANGED <<current, content, based, installed, messages>>

(* The token shows whether the write was applied. Without ReadBack the     *)
(* change is written again under the next version number.                  *)
Settle(o) ==
    /\ phase[o] = "UNKNOWN"
    /\ phase' = [phase EXCEPT ![o] = "ACCEPTED"]
    /\ IF ReadBack
       THEN UNCHANGED <<current, content, based, installed, messages>>
       ELSE Apply(o, based[o])

Publish ==
    /\ messages' = messages \cup {current}
    /\ UNCHANGED <<current, content, based, phase, installed>>

Install(n, v) ==
    /\ v \in messages \cup {installed[m] : m \in Node}
    /\ NeverLower => v > installed[n]
    /\ installed' = [installed EXCEPT ![n] = v]
    /\ UNCHANGED <<current, content, based, phase, messages>>

Next ==
    \/ \E o \in Operator : Read(o) \/ Write(o) \/ Settle(o)
    \/ Publish
    \/ \E n \in Node, v \in Versions : Install(n, v)

Spec == Init /\ [][Next]_vars

(* The current version contains every accepted change.                     *)
KeepsAcceptedChanges == \A o \in Operator : phase[o] = "ACCEPTED" => o \in content[current]
(* A node never replaces its version by a lower one.                       *)
NeverReverts == [][\A n \in Node : installed'[n] >= installed[n]]_vars
=============================================================================
