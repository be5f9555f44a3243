package runner

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/observer"
	"github.com/cicadawood/cicadawood/placer"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/resumer"
)

// askDelay is how long a lookup waits for others, so that one message asks for many of them:
// when a host fails, all its streams are taken up at once.
const askDelay = 2 * time.Millisecond

// originSync shares a host's knowledge of which workers began streams with other hosts. The
// selector's goroutine owns it. Where each host decides for itself, all hosts are notified; in a
// larger fleet those that receive the flight updates are, as every host has connections to them.
type originSync struct {
	self    string
	sender  sender
	log     *zap.Logger
	post    func(event) bool
	confirm func(now time.Time) // has the list of workers confirmed, if a lookup waits for it

	confirmable func() bool // the list can be confirmed by the store
	resumer     *resumer.Resumer
	held        []heldRequest        // of other hosts, that wait for the list
	knowers     []registrar.Record   // hosts that are notified and asked, without this one
	readers     map[string]bool      // hosts known to read the messages about origins, by name
	announced   map[string]uint64    // incarnation of each host that was notified that this one does
	reply       string               // control address of this host; "" before it is on the roster
	askDue      bool                 // an originsDue is on its way
	uncertain   []streamTakenUp      // that wait for their beginning to be certain
	workers     *prometheus.GaugeVec // by service and version
	count       atomic.Int64         // of records
	first       firstStart
	era         uint64 // of the store, by the list of workers
}

// Events of originSync.
type (
	// streamTakenUp asks where a stream that a caller takes up may go on.
	streamTakenUp struct {
		stream resumer.TakenUp
		until  time.Time // until when it may wait for its beginning to be certain
		reply  chan<- resumer.Answer
	}
	// streamBegan and streamEnded report the first event and the end of a stream.
	streamBegan struct {
		keys     []resumer.Key
		worker   resumer.Worker
		openedAt time.Time // of the connection that it came over
	}
	streamEnded struct{ keys []resumer.Key }
	// certaintyRequested asks whether it is a worker that answers over a connection.
	certaintyRequested struct {
		worker   resumer.Worker
		openedAt time.Time
		until    time.Time // until when the list is awaited
		reply    chan<- bool
	}
	// replacedRequested asks whether a worker has started again, by a list that has its start and is
	// not of before a standstill of this host.
	replacedRequested struct {
		worker resumer.Worker
		due    time.Time // when the start that confirmed is listed; zero if any list will do
		begun  bool      // that start began the answer
		until  time.Time // until when such a list is awaited
		reply  chan<- bool
	}
	// originsDue is posted when lookups are to be sent, and lookupsDue when they have waited
	// for the other hosts.
	originsDue struct{}
	lookupsDue struct{}
	// originsReceived, originsListed, originRequested and originReplied are messages of other hosts.
	originsReceived struct {
		from    string
		streams []messenger.StreamOrigin
	}
	originsListed struct {
		from   string
		listed messenger.ListedOrigins
	}
	originRequested struct {
		from    string
		request messenger.OriginRequest
	}
	originReplied struct {
		from  string
		reply messenger.OriginReply
	}
)

func newOriginSync(self string, s sender, first bool, log *zap.Logger, post func(event) bool) *originSync {
	return &originSync{
		self: self, sender: s, log: log, post: post, resumer: resumer.New(self, false), first: firstStart{claimed: first},
		readers: map[string]bool{}, announced: map[string]uint64{},
		workers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cicadawood_workers_by_version", Help: "Workers on this host's list, also those that are leaving, by service and software version.",
		}, []string{"service", "version"}),
	}
}

// register registers the metrics.
func (o *originSync) register(r prometheus.Registerer) {
	r.MustRegister(o.workers, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cicadawood_stream_origins", Help: "Streams of which this host knows which worker began them.",
	}, func() float64 { return float64(o.count.Load()) }))
}

// sweep forgets what no stream can need any more, and asks again for beginnings that were not
// certain.
func (o *originSync) sweep(now time.Time) {
	o.resumer.SetFirst(now, o.first.confirmed(now))
	o.resumer.Sweep(now)
	o.count.Store(int64(o.resumer.Len()))
	o.retryUncertain(now)
}

// handle handles an event. It returns false for one that is of no concern to it.
func (o *originSync) handle(now time.Time, e event) bool {
	switch e := e.(type) {
	case streamTakenUp:
		o.resolve(now, e)
	case streamEnded:
		o.resumer.Ended(e.keys)
	case recordWritten:
		o.first.written(now, e.fresh)
	case originsDue:
		o.ask()
		o.confirm(now)
	case lookupsDue:
		o.resumer.Expire(now)
	case originsReceived:
		o.readers[e.from] = true
		for _, x := range e.streams {
			o.resumer.Receive(now, decodeOrigin(now, x))
		}
		o.retryUncertain(now)
	case originsListed:
		for _, x := range decodeListed(now, e.listed) {
			o.resumer.Receive(now, x)
		}
		o.retryUncertain(now)
	case originRequested:
		o.receive(now, e)
	case requestsDue:
		o.answerHeld(now, o.resumer.ConfirmedAt())
	case originReplied:
		o.readers[e.from] = true
		o.resumer.ReceiveTold(now, e.from, decodeTold(now, e.reply))
	default:
		return false
	}
	return true
}

// began records the first event of a stream, and sends it at once if other hosts must know.
func (o *originSync) began(now time.Time, e streamBegan) {
	if o.resumer.Began(now, e.keys, e.worker) {
		o.tell(now)
	}
}

// beganUncertain is began for a worker that may have been another start than the listed one.
func (o *originSync) beganUncertain(now time.Time, e streamBegan) {
	if o.resumer.BeganUncertain(now, e.keys, e.worker) {
		o.tell(now)
	}
}

// resolve answers a caller's wish to go on with a stream, now or when other hosts have answered.
func (o *originSync) resolve(now time.Time, e streamTakenUp) {
	reply := func(a resumer.Answer) {
		if a.Result == resumer.Known && a.Worker.IsUncertain() && now.Before(e.until) {
			o.uncertain = append(o.uncertain, e)
			return
		}
		e.reply <- a
	}
	a := o.resumer.Resolve(now, e.stream, o.reply != "" && len(o.readable()) > 0, reply)
	if a.Result != resumer.Pending {
		reply(a)
		return
	}
	if !o.askDue {
		o.askDue = true
		time.AfterFunc(askDelay, func() { o.post(originsDue{}) })
	}
}

// retryUncertain answers the streams whose beginning was not certain: the host that carried them
// reports when it is.
func (o *originSync) retryUncertain(now time.Time) {
	list := o.uncertain
	o.uncertain = nil
	for _, e := range list {
		o.resolve(now, e)
	}
}

// boundNow returns the worker that a stream which goes on is bound to, by what is known now of
// its beginning on this host.
func (o *originSync) boundNow(req placer.Request) *resumer.Worker {
	if req.Bound == nil {
		return nil
	}
	if w, ok := o.resumer.Carried(req.Stream); ok {
		return &w
	}
	return req.Bound
}

// readable returns the hosts that are notified and asked and that read the messages, by name.
func (o *originSync) readable() []registrar.Record {
	return slices.DeleteFunc(slices.Clone(o.knowers), func(h registrar.Record) bool { return !o.readers[h.Name] })
}

// ask sends the lookups to the other hosts.
func (o *originSync) ask() {
	o.askDue = false
	hosts := o.readable()
	for _, a := range o.resumer.DrainAsks(namesOf(hosts)) {
		m := messenger.OriginRequest{Reply: o.reply, Services: a.Services}
		for _, k := range a.Keys {
			m.Keys = append(m.Keys, uint64(k))
		}
		o.send(hosts, m)
	}
	for _, wait := range []time.Duration{resumer.AskTimeout(), resumer.ListTimeout()} {
		time.AfterFunc(wait, func() { o.post(lookupsDue{}) })
	}
}

// tell sends the records that other hosts have not received yet.
func (o *originSync) tell(now time.Time) {
	list := o.resumer.Drain()
	hosts := o.readable()
	if len(hosts) == 0 {
		return
	}
	for part := range slices.Chunk(list, maxRunningPerMessage) {
		var m messenger.StreamOrigins
		for _, x := range part {
			m.Streams = append(m.Streams, encodeOrigin(now, x))
		}
		o.send(hosts, m)
		if listed, ok := encodeListed(now, part); ok {
			o.send(hosts, listed)
		}
	}
}

func (o *originSync) send(hosts []registrar.Record, m messenger.Message) {
	var addresses []string
	for _, h := range hosts {
		addresses = append(addresses, h.Control)
	}
	if err := o.sender.SendAll(addresses, m); err != nil {
		o.log.Debug("origins", zap.Error(err))
	}
}

// setRoster applies a new roster with the hosts that receive flight updates. A host that is
// notified announces that it reads the messages, to each start of every other host.
func (o *originSync) setRoster(now time.Time, r registrar.Roster, listeners []registrar.Record) {
	o.noteLost(now, r)
	self, known := r.Find(o.self)
	if known {
		o.reply = self.Control
	}
	o.first.setRoster(o.self, r)
	for name := range o.readers {
		if _, ok := r.Find(name); !ok {
			delete(o.readers, name)
		}
	}
	o.knowers = slices.DeleteFunc(slices.Clone(listeners), func(h registrar.Record) bool { return h.Name == o.self })
	if !containsHost(listeners, o.self) {
		clear(o.announced)
		return
	}
	var added []registrar.Record
	for _, h := range r.Hosts() {
		if h.Name != o.self && o.announced[h.Name] != h.Incarnation {
			o.announced[h.Name] = h.Incarnation
			added = append(added, h)
		}
	}
	if len(added) > 0 {
		o.send(added, messenger.FlightUpdate{Limits: []messenger.WorkerLimit{{Worker: messenger.OriginsFeature}}})
	}
}

// noteLost records which hosts that could be asked are not on a new roster.
func (o *originSync) noteLost(now time.Time, r registrar.Roster) {
	var lost []string
	for _, h := range o.readable() {
		if _, ok := r.Find(h.Name); !ok {
			lost = append(lost, h.Name)
		}
	}
	o.resumer.HostsLost(now, lost)
}

// setEra applies the store's era: a later one is a restore from an older snapshot.
func (o *originSync) setEra(era uint64) {
	if era != o.era {
		o.era = era
		o.resumer.ForgetListed()
	}
}

// setWorkers applies the list of workers, and reports the streams that began while there was only
// one version.
func (o *originSync) setWorkers(now, updatedAt time.Time, entries []observer.Entry) {
	workers := make([]resumer.Worker, 0, len(entries))
	o.workers.Reset()
	for _, e := range entries {
		o.workers.WithLabelValues(e.Service, e.Version).Inc()
		workers = append(workers, softwareOf(e))
	}
	o.resumer.SetWorkers(now, updatedAt, workers)
	o.tell(now)
}

// served records workers that served until now and are no longer listed.
func (o *originSync) served(now time.Time, entries []observer.Entry) {
	for _, e := range entries {
		o.resumer.Served(now, softwareOf(e))
	}
}

func softwareOf(e observer.Entry) resumer.Worker {
	return resumer.Worker{Service: e.Service, Name: e.Name, Incarnation: e.Incarnation, Version: e.Version}
}

// configure applies the timeouts of the routes with streams.
func (o *originSync) configure(f *loader.Folder) {
	longest := map[string]time.Duration{}
	for _, r := range f.Routes {
		for _, s := range r.Services {
			if r.Stream {
				longest[s.Service] = max(longest[s.Service], r.Timeout.Std())
			}
		}
	}
	o.resumer.SetTimeouts(longest)
}

func namesOf(hosts []registrar.Record) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	return out
}

func (streamTakenUp) event()      {}
func (streamBegan) event()        {}
func (streamEnded) event()        {}
func (certaintyRequested) event() {}
func (replacedRequested) event()  {}
func (originsDue) event()         {}
func (lookupsDue) event()         {}
func (originsReceived) event()    {}
func (originsListed) event()      {}
func (originRequested) event()    {}
func (originReplied) event()      {}
