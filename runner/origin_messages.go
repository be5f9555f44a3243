package runner

import (
	"time"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/resumer"
)

func encodeOrigin(now time.Time, x resumer.Record) messenger.StreamOrigin {
	w := x.Worker
	return messenger.StreamOrigin{
		Key: uint64(x.Key), Service: w.Service, Worker: w.Name, Incarnation: w.Incarnation, Version: w.Version, Host: x.Host, Age: now.Sub(x.At),
	}
}

func decodeOrigin(now time.Time, m messenger.StreamOrigin) resumer.Record {
	return resumer.Record{
		Key: resumer.Key(m.Key), Host: m.Host, At: now.Add(-max(m.Age, 0)),
		Worker: resumer.Worker{Service: m.Service, Name: m.Worker, Incarnation: m.Incarnation, Version: m.Version},
	}
}

// encodeListed returns what was listed of the workers of those beginnings that are not certain;
// false if there are none.
func encodeListed(now time.Time, list []resumer.Record) (messenger.ListedOrigins, bool) {
	var m messenger.ListedOrigins
	for _, x := range list {
		if x.Worker.IsUncertain() && x.Listed != (resumer.Worker{}) {
			x.Worker = x.Listed
			m.Streams = append(m.Streams, encodeOrigin(now, x))
		}
	}
	return m, len(m.Streams) > 0
}

// decodeListed reverses encodeListed.
func decodeListed(now time.Time, m messenger.ListedOrigins) []resumer.Record {
	var out []resumer.Record
	for _, o := range m.Streams {
		x := decodeOrigin(now, o)
		x.Listed, x.Worker = x.Worker, x.Worker.Uncertain()
		out = append(out, x)
	}
	return out
}

func encodeTold(now time.Time, t resumer.Told) messenger.OriginReply {
	var m messenger.OriginReply
	for _, x := range t.Records {
		m.Streams = append(m.Streams, encodeOrigin(now, x))
	}
	for _, k := range t.Unknown {
		m.Unknown = append(m.Unknown, uint64(k))
	}
	for _, h := range t.Histories {
		m.Histories = append(m.Histories, messenger.SoftwareHistory{Service: h.Service, Software: h.Software, Complete: h.Complete, Fresh: h.Fresh})
	}
	return m
}

func decodeTold(now time.Time, m messenger.OriginReply) resumer.Told {
	var t resumer.Told
	for _, x := range m.Streams {
		t.Records = append(t.Records, decodeOrigin(now, x))
	}
	for _, k := range m.Unknown {
		t.Unknown = append(t.Unknown, resumer.Key(k))
	}
	for _, h := range m.Histories {
		t.Histories = append(t.Histories, resumer.History{Service: h.Service, Software: h.Software, Complete: h.Complete, Fresh: h.Fresh})
	}
	return t
}
