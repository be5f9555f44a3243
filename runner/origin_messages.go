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
		ListedIncarnation: x.Listed.Incarnation, ListedVersion: x.Listed.Version,
	}
}

func decodeOrigin(now time.Time, m messenger.StreamOrigin) resumer.Record {
	x := resumer.Record{
		Key: resumer.Key(m.Key), Host: m.Host, At: now.Add(-max(m.Age, 0)),
		Worker: resumer.Worker{Service: m.Service, Name: m.Worker, Incarnation: m.Incarnation, Version: m.Version},
	}
	if x.Worker.IsUncertain() && (m.ListedIncarnation != "" || m.ListedVersion != "") {
		x.Listed = resumer.Worker{Service: m.Service, Name: m.Worker, Incarnation: m.ListedIncarnation, Version: m.ListedVersion}
	}
	return x
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
