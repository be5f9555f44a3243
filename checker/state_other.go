//go:build !linux

package checker

import "net"

// isClosed reports whether both directions of a connection are closed.
func isClosed(net.Conn) (bool, error) { return false, errStateUnknown }
