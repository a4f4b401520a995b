/* Model of the lease protocol and the fencing by term that docs/design-lease.md specifies. Each Incarnation is one
   incarnation of a coordinator; its state is discarded when its lease expires. There is no clock: a heartbeat, known by
   the revision that it wrote, is in `expired` once it no longer gives its sender a lease. ModelTest runs the checks. */
open util/ordering[Revision] as revisions
open util/ordering[Term] as terms

sig Revision {}
sig Term {}
sig Slice {}

sig Incarnation {
  var recordRevision: lone Revision,              // revision of its member record in the store
  var ackedRevision: lone Revision,               // latest heartbeat that it knows to be applied
  var seenRevision: Incarnation -> lone Revision, // members' records as seen by its watch
  var owns: set Slice,
  var pendingTakeover: Slice -> lone Term,        // takeover write in flight, with the term it expects
  var sentOrders: Slice -> Term                   // its orders that may still be delivered
}
var sig Closed in Incarnation {}
one sig Store {
  var owner: Slice -> lone Incarnation,
  var term: Slice -> one Term,
  var expired: Incarnation -> Revision
}
one sig Proxy {
  var knownTerm: Slice -> one Term,  // latest term that it has seen
  var appliedTerm: Slice -> one Term // term of the order applied last
}

enum Guard { ClockMargin, NewIncarnation, ExpectedRevision, StopAtExpiry, CloseBeforeTakeover, Fencing }
one sig Disabled { guards: set Guard }
pred enabled[x: Guard] { x not in Disabled.guards }

pred holdsLease[l: Incarnation] { some l.ackedRevision and l.ackedRevision not in l.(Store.expired) }
pred actsAsOwner[l: Incarnation, s: Slice] { s in l.owns and (holdsLease[l] or not enabled[StopAtExpiry]) }
// An incarnation whose lease has expired ends.
pred mayContinue[l: Incarnation] { holdsLease[l] or not enabled[NewIncarnation] }

// All have sent one heartbeat; there are no owners yet, or one incarnation owns every slice.
pred initial {
  recordRevision = Incarnation -> revisions/first and ackedRevision = recordRevision and no seenRevision
      and no pendingTakeover and no sentOrders and no Closed and no expired
  (no owner and no owns) or (one l: Incarnation | owner = Store -> Slice -> l and owns = l -> Slice)
  all s: Slice | Store.term[s] = terms/first and Proxy.knownTerm[s] = terms/first
      and Proxy.appliedTerm[s] = terms/first
}

pred membersUnchanged { recordRevision' = recordRevision and ackedRevision' = ackedRevision
    and Closed' = Closed and seenRevision' = seenRevision and expired' = expired }
pred ownersUnchanged { owner' = owner and term' = term and owns' = owns and pendingTakeover' = pendingTakeover }
pred ordersUnchanged { sentOrders' = sentOrders and knownTerm' = knownTerm and appliedTerm' = appliedTerm }

// The store applies a heartbeat: never to a closed record, unless the NewIncarnation guard is disabled.
pred heartbeat[l: Incarnation] {
  mayContinue[l] and (l not in Closed or not enabled[NewIncarnation])
  some r: Revision | (no l.recordRevision or revisions/lt[l.recordRevision, r])
      and recordRevision' = recordRevision ++ l -> r
  ackedRevision' = ackedRevision and Closed' = Closed - l and seenRevision' = seenRevision
      and expired' = expired and ownersUnchanged and ordersUnchanged
}
pred acknowledge[l: Incarnation] {
  mayContinue[l] and l not in Closed and some l.recordRevision and l.recordRevision not in l.(Store.expired)
      and ackedRevision' = ackedRevision ++ l -> l.recordRevision
  recordRevision' = recordRevision and Closed' = Closed and seenRevision' = seenRevision and expired' = expired
      and ownersUnchanged and ordersUnchanged
}
pred watch[o, l: Incarnation] {
  some l.recordRevision and seenRevision' = seenRevision ++ o -> (o.seenRevision ++ l -> l.recordRevision)
  recordRevision' = recordRevision and ackedRevision' = ackedRevision and Closed' = Closed
      and expired' = expired and ownersUnchanged and ordersUnchanged
}
// A heartbeat and all earlier ones of its sender expire.
pred expire[l: Incarnation] {
  some r: Revision | r in l.recordRevision + revisions/prevs[l.recordRevision]
      and expired' = expired + Store -> l -> (r + revisions/prevs[r])
  recordRevision' = recordRevision and ackedRevision' = ackedRevision and Closed' = Closed
      and seenRevision' = seenRevision and ownersUnchanged and ordersUnchanged
}
// An observer's lease is longer by the margin: what it sees expired has expired for the sender too.
pred observesExpiry[o, l: Incarnation] { some o.seenRevision[l] and (o.seenRevision[l] in l.(Store.expired)
    or not enabled[ClockMargin]) }
pred close[o, l: Incarnation] {
  o != l and holdsLease[o] and observesExpiry[o, l] and l not in Closed and Closed' = Closed + l
  enabled[ExpectedRevision] implies l.recordRevision = o.seenRevision[l]
  recordRevision' = recordRevision and ackedRevision' = ackedRevision and seenRevision' = seenRevision
      and expired' = expired and ownersUnchanged and ordersUnchanged
}
pred mayBeTakenOver[o: Incarnation, s: Slice] {
  no Store.owner[s] or Store.owner[s] in Closed or (not enabled[CloseBeforeTakeover]
      and observesExpiry[o, Store.owner[s]])
}
pred requestTakeover[o: Incarnation, s: Slice] {
  holdsLease[o] and no o.pendingTakeover[s] and Store.owner[s] != o and mayBeTakenOver[o, s]
      and pendingTakeover' = pendingTakeover + o -> s -> Store.term[s]
  owner' = owner and term' = term and owns' = owns and membersUnchanged and ordersUnchanged
}
pred applyTakeover[o: Incarnation, s: Slice] {
  some o.pendingTakeover[s]
  let t = o.pendingTakeover[s] {
    some t.next
    (t = Store.term[s] or not enabled[ExpectedRevision]) implies
      (owner' = owner ++ Store -> s -> o and term' = term ++ Store -> s -> t.next)
    else (owner' = owner and term' = term)
  }
  pendingTakeover' = pendingTakeover - o -> s -> Term and owns' = owns and membersUnchanged and ordersUnchanged
}
// It sees that the slice's record names itself, or another.
pred observeOwner[o: Incarnation, s: Slice] {
  Store.owner[s] = o implies (holdsLease[o] and owns' = owns + o -> s) else (s in o.owns and owns' = owns - o -> s)
  owner' = owner and term' = term and pendingTakeover' = pendingTakeover and membersUnchanged and ordersUnchanged
}
pred sendOrder[o: Incarnation, s: Slice] {
  actsAsOwner[o, s] and Store.owner[s] = o and sentOrders' = sentOrders + o -> s -> Store.term[s]
  knownTerm' = knownTerm and appliedTerm' = appliedTerm and membersUnchanged and ownersUnchanged
}
// Any order sent may be delivered, late and more than once.
pred deliverOrder[o: Incarnation, s: Slice] {
  some t: o.sentOrders[s] | {
    enabled[Fencing] implies terms/gte[t, Proxy.knownTerm[s]]
    knownTerm' = knownTerm ++ Proxy -> s -> (terms/gte[t, Proxy.knownTerm[s]] implies t else Proxy.knownTerm[s])
    appliedTerm' = appliedTerm ++ Proxy -> s -> t
  }
  sentOrders' = sentOrders and membersUnchanged and ownersUnchanged
}
pred stutter { membersUnchanged and ownersUnchanged and ordersUnchanged }

fact transitions {
  initial
  always (stutter or (some l: Incarnation | heartbeat[l] or acknowledge[l] or expire[l])
    or (some o, l: Incarnation | watch[o, l] or close[o, l])
    or (some o: Incarnation, s: Slice | requestTakeover[o, s] or applyTakeover[o, s] or observeOwner[o, s]
        or sendOrder[o, s] or deliverOrder[o, s]))
}

pred oneOwner { always all s: Slice | lone l: Incarnation | actsAsOwner[l, s] }
pred termsNeverDecrease { always all s: Slice | terms/gte[Store.term'[s], Store.term[s]] }
pred noOldOrderApplied { always all s: Slice | terms/gte[Proxy.appliedTerm'[s], Proxy.appliedTerm[s]] }

// With all guards enabled.
check OneOwner { no Disabled.guards implies oneOwner } for 2 Incarnation, 1 Slice, 2 Revision, 3 Term, 1..12 steps
check TermsNeverDecrease { no Disabled.guards
    implies termsNeverDecrease } for 2 Incarnation, 1 Slice, 2 Revision, 3 Term, 1..12 steps
check NoOldOrderApplied { no Disabled.guards
    implies noOldOrderApplied } for 2 Incarnation, 1 Slice, 2 Revision, 3 Term, 1..12 steps
// Disabling any one guard must violate an assertion.
check WithoutClockMargin { Disabled.guards = ClockMargin implies oneOwner }
    for 2 Incarnation, 1 Slice, 2 Revision, 3 Term, 1..12 steps
check WithoutNewIncarnation { Disabled.guards = NewIncarnation implies oneOwner }
    for 2 Incarnation, 1 Slice, 2 Revision, 3 Term, 1..12 steps
check WithoutExpectedRevision { Disabled.guards = ExpectedRevision implies (oneOwner and termsNeverDecrease) }
    for 2 Incarnation, 1 Slice, 2 Revision, 3 Term, 1..12 steps
check WithoutStopAtExpiry { Disabled.guards = StopAtExpiry implies oneOwner }
    for 2 Incarnation, 1 Slice, 2 Revision, 3 Term, 1..12 steps
check WithoutCloseBeforeTakeover { Disabled.guards = CloseBeforeTakeover implies oneOwner }
    for 2 Incarnation, 1 Slice, 2 Revision, 3 Term, 1..12 steps
check WithoutFencing { Disabled.guards = Fencing implies noOldOrderApplied }
    for 2 Incarnation, 1 Slice, 2 Revision, 3 Term, 1..12 steps

// Recovery: under fairness, if one incarnation keeps its lease and all others end, every slice gets an owner.
pred fair[o: Incarnation] {
  all l: Incarnation - o | always ((always (some l.recordRevision and o.seenRevision[l] != l.recordRevision))
      implies eventually watch[o, l])
  all l: Incarnation - o | always ((always some l.ackedRevision + l.recordRevision)
      implies eventually (l in Closed or always some l.(Store.expired)))
  all l: Incarnation - o | always ((always (observesExpiry[o, l] and l not in Closed
      and l.recordRevision = o.seenRevision[l])) implies eventually close[o, l])
  all s: Slice | always ((always (mayBeTakenOver[o, s] and no o.pendingTakeover[s] and Store.owner[s] != o))
      implies eventually requestTakeover[o, s])
  all s: Slice | always ((always some o.pendingTakeover[s]) implies eventually applyTakeover[o, s])
  all s: Slice | always ((always (Store.owner[s] = o and s not in o.owns)) implies eventually observeOwner[o, s])
}
check Recovery {
  (no Disabled.guards and some o: Incarnation | (eventually always holdsLease[o]) and fair[o]
    and (eventually always all l: Incarnation - o | l in Closed)
    and (always all s: Slice | some Store.term[s].next))
  implies eventually always all s: Slice | some l: Incarnation | actsAsOwner[l, s]
} for 2 Incarnation, 1 Slice, 2 Revision, 3 Term, 1..12 steps
