// Package prover declares the fault matrix: the steps in the life of a request, of a
// configuration and of a host, the faults that can occur at them, and the cells that are
// impossible. Tests declare the cells that they cover with ginkgo labels; cmd/matrix reads
// the test reports and lists the cells that are not covered.
package prover

import (
	"fmt"
	"strings"
)

// Step is a point in the life of a request, of a configuration or of a host.
type Step string

// Steps of a request.
const (
	Received        Step = "received"
	Queued          Step = "queued"
	Asked           Step = "asked"
	Granted         Step = "granted"
	IntentRecorded  Step = "intent"
	Sent            Step = "sent"
	FirstToken      Step = "first"
	MidStream       Step = "mid"
	Answered        Step = "answered"
	OutcomeRecorded Step = "outcome"
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
	LeaseRenewed   Step = "renewed"
	RoleTaken      Step = "taken"
	RoleHandedOver Step = "handed"
	Draining       Step = "draining"
	Drained        Step = "drained"
)

// Fault is a kind of failure.
type Fault string

// Faults of hosts, connections, the store and operators.
const (
	Kill             Fault = "kill"   // SIGKILL
	Freeze           Fault = "freeze" // for longer than the lease, then resumed
	CutOneWay        Fault = "cut1"
	CutBothWays      Fault = "cut2"
	Blackhole        Fault = "silence" // packets are lost without an error
	Slow             Fault = "slow"
	LostReply        Fault = "lostreply" // a write takes effect and its reply is lost
	StoreDown        Fault = "down"
	StoreSlow        Fault = "storeslow"
	WatchGap         Fault = "gap"      // the store has discarded changes that a watch asks for
	LateHostList     Fault = "latelist" // the platform's host list is out of date
	Reorder          Fault = "reorder"  // a frame is duplicated or arrives out of order
	MismatchedAnswer Fault = "crossed"  // an answer belongs to another request
	LeavingAnswer    Fault = "leaving"  // a backend server states in an answer that it is leaving
	RetryAfter       Fault = "backoff"  // a backend server refuses a call and states for how long it wants no others
	CutFromWorkers   Fault = "apart"    // a host has lost its links to the backend servers, while other hosts reach them
	SilentWorker     Fault = "pause"    // a backend server is silent for a second and goes on
	BrittleWorker    Fault = "brittle"  // a backend server states that it falls over if it turns many calls away
	TwoVersions      Fault = "versions" // backend servers of a service run two software versions
	PoisonPart       Fault = "part"     // a part of prompts crashes each backend server that answers on it
	Unframed         Fault = "unframed" // answers end with their connection
	Endless          Fault = "endless"  // a backend server's answer has no end
	Ending           Fault = "ending"   // a backend server ends while the kernel accepts connections for it
	CutShort         Fault = "short"    // a request or an answer ends before its end, at any byte
	LateArrival      Fault = "late"     // a backend server that stalled reads what it was sent long before
	KillAll          Fault = "killall"  // all hosts are killed at once
	Crowd            Fault = "crowd"    // most new connections come to one host
	PushRace         Fault = "race"     // operators push at the same time
)

// Steps returns all steps in order: of a request, of a configuration, of a host.
func Steps() []Step {
	return []Step{
		Received, Queued, Asked, Granted, IntentRecorded, Sent, FirstToken, MidStream, Answered, OutcomeRecorded, Acked,
		Pushed, Written, Watched, InForce, LeaseRenewed, RoleTaken, RoleHandedOver, Draining, Drained,
	}
}

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{Kill, Freeze, CutOneWay, CutBothWays, Blackhole, Slow, LostReply, StoreDown, StoreSlow, WatchGap, LateHostList, Reorder, MismatchedAnswer, LeavingAnswer, RetryAfter, CutFromWorkers, SilentWorker, BrittleWorker, TwoVersions, PoisonPart, Unframed, Endless, Ending, CutShort, LateArrival, KillAll, Crowd, PushRace}
}

const (
	cellPrefix = "cell:"
	pairPrefix = "pair:"
)

// Cell returns the label of a test that covers a fault at a step. It has no slash, which
// ginkgo forbids in labels.
func Cell(s Step, f Fault) string { return fmt.Sprintf("%s%s.%s", cellPrefix, s, f) }

// Pair returns the label of a test that covers two faults together or in sequence.
func Pair(s1 Step, f1 Fault, s2 Step, f2 Fault) string {
	return fmt.Sprintf("%s%s.%s+%s.%s", pairPrefix, s1, f1, s2, f2)
}

// IsCell reports whether a label was made by Cell.
func IsCell(label string) bool { return strings.HasPrefix(label, cellPrefix) }

// IsPair reports whether a label was made by Pair.
func IsPair(label string) bool { return strings.HasPrefix(label, pairPrefix) }
