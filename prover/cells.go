package prover

import "slices"

// matrixRow declares at which steps a fault can occur, and why it can't at the others.
type matrixRow struct {
	fault  Fault
	steps  []Step
	reason string // why it can't occur at the other steps
}

var (
	requestSteps = Steps()[:11]
	configSteps  = Steps()[11:15]
	hostSteps    = Steps()[15:]
	storeSteps   = []Step{IntentRecorded, OutcomeRecorded, Pushed, Written, Watched, InForce, LeaseRenewed, RoleTaken, RoleHandedOver, Draining}
)

// matrix is the fault matrix, one line for each fault.
var matrix = []matrixRow{
	{Kill, Steps(), ""},
	{Freeze, Steps(), ""},
	{CutOneWay, slices.Concat(requestSteps, configSteps, hostSteps[:4]), "a host that has left needs no connection"},
	{CutBothWays, slices.Concat(requestSteps, configSteps, hostSteps[:4]), "a host that has left needs no connection"},
	{Blackhole, slices.Concat(requestSteps, configSteps, hostSteps[:4]), "a host that has left needs no connection"},
	{Slow, slices.Concat(requestSteps, hostSteps), "a slow push or watch is the store's slowness: see storeslow"},
	{LostReply, []Step{IntentRecorded, OutcomeRecorded, Pushed, LeaseRenewed, RoleTaken, RoleHandedOver, Draining}, "the step writes nothing to the store"},
	{StoreDown, storeSteps, "the step does not use the store"},
	{StoreSlow, storeSteps, "the step does not use the store"},
	{WatchGap, []Step{Watched, InForce, LeaseRenewed, RoleTaken, RoleHandedOver, Draining}, "the step follows from no watch"},
	{LateHostList, []Step{Granted, Sent, Draining}, "the host list decides only which worker gets a new request, and which is leaving"},
	{Reorder, []Step{Received, Queued, Asked, Granted, IntentRecorded, Sent, FirstToken, MidStream, Answered, OutcomeRecorded, Acked, Watched, InForce, LeaseRenewed, RoleTaken, RoleHandedOver, Draining}, "the step is reached by no frame, answer or reply that could come twice or late"},
	{MismatchedAnswer, []Step{Sent, FirstToken, MidStream, Answered, Acked}, "only what answers a call that was sent can belong to another request"},
	{LeavingAnswer, []Step{Asked, Granted, Sent, FirstToken, Answered}, "it changes which worker gets a call, and is stated in the head of an answer"},
	{RetryAfter, []Step{Asked, Granted, Sent}, "it changes which worker gets a call, and is stated in a refusal"},
	{CutFromWorkers, []Step{Asked, Granted, Sent, MidStream, Draining}, "it changes the way of a call to its worker, and what a helping host has under way"},
	{SilentWorker, []Step{Sent}, "it changes when an answer begins"},
	{BrittleWorker, []Step{Asked, Granted, Sent}, "it changes which worker gets a call, and is stated in an answer"},
	{TwoVersions, []Step{Asked, Granted, FirstToken, MidStream}, "it changes which worker may go on with a stream that has begun"},
	{PoisonPart, []Step{Asked, Granted, Sent, FirstToken}, "it changes which worker gets a call, and shows when an answer begins"},
	{Unframed, []Step{MidStream, Answered}, "it concerns how an answer ends"},
	{Endless, []Step{Sent, FirstToken, MidStream, Answered}, "it concerns what a backend server sends"},
	{Ending, []Step{MidStream}, "before an answer begins it is a crash, and shows in the send; after its end, nothing is left to be cut"},
	{CutShort, []Step{Received, Sent, MidStream, Answered}, "it concerns what a caller or a backend server has sent in part"},
	{LateArrival, []Step{Sent}, "it changes when a request counts that was sent"},
	{KillAll, []Step{MidStream}, "what one host is killed for at other steps holds for each of them; a stream may be taken up at another host"},
	{Crowd, []Step{Received}, "it changes which host a call reaches"},
	{PushRace, configSteps, "operators race each other in pushes only"},
}

// Cells returns the Cell labels of all steps and faults that can occur together, ordered
// by step.
func Cells() []string {
	var out []string
	for _, s := range Steps() {
		for _, r := range matrix {
			if slices.Contains(r.steps, s) {
				out = append(out, Cell(s, r.fault))
			}
		}
	}
	return out
}

// ImpossibleReason returns why a fault can't occur at a step, or "" if it can.
func ImpossibleReason(s Step, f Fault) string {
	for _, r := range matrix {
		if r.fault == f && !slices.Contains(r.steps, s) {
			return r.reason
		}
	}
	return ""
}
