package forwarder

// OnRefused sets a function that is called with the address of each backend server that
// answers that it did not run a call. It must be called before the first Do.
func (f *Forwarder) OnRefused(report func(address string)) { f.onRefused = report }

func (f *Forwarder) reportRefused(address string) {
	if f.onRefused != nil {
		f.onRefused(address)
	}
}
