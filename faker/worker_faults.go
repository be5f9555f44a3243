package faker

import "time"

// WorkerFaults are the faults of a Worker.
type WorkerFaults struct {
	Reject          bool          // refuses the request and reports that it was not run
	RetryAfter      time.Duration // reported with a refusal; 0 reports none
	BreakConnection bool          // runs the request and breaks the connection
	NeverAnswer     bool          // runs the request and never answers
	Unsealed        bool          // answers without its seal
	AnswerError     bool          // answers with status 500
	CutAtEvent      int           // breaks the connection inside the event with this number; 0 breaks none
	ExtraAnswer     bool          // sends a second answer, of another request, after each
	Unframed        bool          // answers with neither a length nor chunks
	ResetBody       bool          // with Unframed, resets the connection within a body
	Endless         Endless       // part of its answers that has no end
	CutAfterByte    int           // writes so many bytes of an answer and closes the connection; 0 cuts none
	HangAfterEvent  int           // with Unframed, hangs as Hang does after the event with this number; 0 is never
	Second          SecondAnswer  // that follows each stream
	Head            OddHead       // fault of the heads of its answers
	Early           EarlyAnswer   // in place of all others
	EndAfterEvent   int           // with Unframed, ends as a killed process does after the event with this number; 0 is never
}

// SetFaults replaces the faults in force.
func (k *Worker) SetFaults(f WorkerFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}
