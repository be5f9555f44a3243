package router

// Charge is what the retry budget counts for a placement.
type Charge int

// Charges of a placement.
const (
	ChargeFirst  Charge = iota // the caller's request, for which repeats are granted
	ChargeNone                 // a further worker for a request that no worker has received yet
	ChargeRepeat               // a repeat
)

// charge returns what the retry budget counts for the next placement. A request counts once
// however many workers can't be connected to: each of them would grant repeats of its own.
func (t *transaction) charge() Charge {
	switch {
	case t.transmitted > 0:
		return ChargeRepeat
	case t.charged:
		return ChargeNone
	}
	t.charged = true
	return ChargeFirst
}
