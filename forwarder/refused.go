package forwarder

// OnRefused has f called with the address of each backend server that answers
// that it did not run a call. It is set before the first call.
func (f *Forwarder) OnRefused(report func(address string)) { f.report = report }

func (f *Forwarder) refused(address string) {
	if f.report != nil {
		f.report(address)
	}
}
