--------------------------- MODULE Configuration ---------------------------
(* Versions of the configuration: racing operators, lost answers, nodes    *)
(* that learn versions from the platform and from each other, late.        *)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS
    Node,
    Operator,       \* each operator makes one change
    CheckVersion,   \* FALSE: a change does not check the version that it is based on
    ReadBack,       \* FALSE: a change whose answer was lost is written again blindly
    NeverLower      \* FALSE: a node installs whatever version arrives

VARIABLES
    current,    \* version in the platform's table
    content,    \* content[v]: the changes that version v contains
    based,      \* based[o]: version that operator o read, 0 before
    phase,      \* phase[o]: IDLE, READ, UNKNOWN, ACCEPTED
    installed,  \* version in force on each node
    messages    \* versions on their way to nodes; they may arrive late and twice

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

(* Compare-and-set on the version; the answer may be lost.                 *)
Write(o) ==
    /\ phase[o] = "READ"
    /\ IF CheckVersion => based[o] = current
       THEN /\ Apply(o, based[o])
            /\ \E p \in {"ACCEPTED", "UNKNOWN"} : phase' = [phase EXCEPT ![o] = p]
       ELSE /\ phase' = [phase EXCEPT ![o] = "IDLE"]
            /\ UNCHANGED <<current, content, based, installed, messages>>

(* The token tells whether the write took effect; without it the change is *)
(* written again on top of the newest version number.                      *)
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

(* A later version contains every accepted change.                         *)
KeepsAcceptedChanges == \A o \in Operator : phase[o] = "ACCEPTED" => o \in content[current]
(* A node never goes back to a lower version.                              *)
NeverReverts == [][\A n \in Node : installed'[n] >= installed[n]]_vars
=============================================================================
