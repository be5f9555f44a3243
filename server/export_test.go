package server

import (
	"net"

	"github.com/cicadawood/cicadawood/reserver"
)

// Metered returns a listener whose connections reserve what callers send.
func Metered(l net.Listener, m *reserver.Memory) net.Listener {
	return meteredListener{Listener: l, memory: m}
}
