// Package prover declares the fault matrix: the steps of a request, of a
// configuration and of a host's life, the faults that can hit them, and the
// cells that can't occur. Tests name the cells they prove with ginkgo labels;
// cmd/matrix reads the reports and lists what is not proved.
package prover

import (
	"fmt"
	"strings"
)

// Step is a point in the life of a request, a configuration or a host.
type Step string

// Steps of a request.
const (
	Received        Step = "received"
	Queued          Step = "queued"
	Asked           Step = "asked"
	Granted         Step = "granted"
	IntentRecorded  Step = "intent" // recorded
	Sent            Step = "sent"
	FirstToken      Step = "first" // token
	MidStream       Step = "mid"   // stream
	Answered        Step = "answered"
	OutcomeRecorded Step = "outcome" // recorded
	Acked           Step = "acked"
)

// Steps of a configuration.
const (
	Pushed  Step = "pushed"
	Written Step = "written"
	Watched Step = "watched"
	InForce Step = "inforce"
)

// Steps of a host.
const (
	LeaseRenewed   Step = "renewed" // its lease
	RoleTaken      Step = "taken"   // a role
	RoleHandedOver Step = "handed"  // a role
	Draining       Step = "draining"
	Drained        Step = "drained"
)

// Fault is something that goes wrong.
type Fault string

// Faults.
const (
	Kill             Fault = "kill"   // SIGKILL
	Freeze           Fault = "freeze" // beyond the lease, and return
	CutOneWay        Fault = "cut1"   // one way
	CutBothWays      Fault = "cut2"   // both ways
	Blackhole        Fault = "silence"
	Slow             Fault = "slow"
	LostReply        Fault = "lostreply" // after the write took effect
	StoreDown        Fault = "down"
	StoreSlow        Fault = "storeslow"
	WatchGap         Fault = "gap"
	LateHostList     Fault = "latelist" // host list late
	Reorder          Fault = "reorder"  // duplicate or reordered frame
	MismatchedAnswer Fault = "crossed"  // answer of another request
	PushRace         Fault = "race"     // operators
)

// Steps is every step, in order.
func Steps() []Step {
	return []Step{
		Received, Queued, Asked, Granted, IntentRecorded, Sent, FirstToken, MidStream, Answered, OutcomeRecorded, Acked,
		Pushed, Written, Watched, InForce, LeaseRenewed, RoleTaken, RoleHandedOver, Draining, Drained,
	}
}

// Faults is every fault.
func Faults() []Fault {
	return []Fault{Kill, Freeze, CutOneWay, CutBothWays, Blackhole, Slow, LostReply, StoreDown, StoreSlow, WatchGap, LateHostList, Reorder, MismatchedAnswer, PushRace}
}

const (
	cellPrefix = "cell:"
	pairPrefix = "pair:"
)

// Cell is the label of a test that proves a fault at a step. Ginkgo allows no
// slash in a label.
func Cell(s Step, f Fault) string { return fmt.Sprintf("%s%s.%s", cellPrefix, s, f) }

// Pair is the label of a test that proves two faults together or in sequence.
func Pair(s1 Step, f1 Fault, s2 Step, f2 Fault) string {
	return fmt.Sprintf("%s%s.%s+%s.%s", pairPrefix, s1, f1, s2, f2)
}

// IsCell says whether a label is a Cell.
func IsCell(label string) bool { return strings.HasPrefix(label, cellPrefix) }

// IsPair says whether a label is a Pair.
func IsPair(label string) bool { return strings.HasPrefix(label, pairPrefix) }
