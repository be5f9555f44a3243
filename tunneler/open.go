package tunneler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/cicadawood/cicadawood/connector"
	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/reacher"
)

// userTimeout is how long sent data may stay unacknowledged before the system closes a
// tunnel.
const userTimeout = 3 * time.Second

// openTunnel connects to a worker through a helper, before the deadline of ctx. If the
// helper declines, the reply has the reason.
func openTunnel(ctx context.Context, helper reacher.Host, o open) (net.Conn, reply, error) {
	dialer := net.Dialer{KeepAlive: -1, Control: connector.UserTimeoutControl(userTimeout)}
	raw, err := dialer.DialContext(ctx, "tcp", helper.Address)
	if err != nil {
		return nil, reply{Reason: reacher.Silent}, fmt.Errorf("%w: %s: %v", connector.ErrDetour, helper.Name, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	answer, err := exchangeOpen(ctx, raw, o)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil && answer.Reason == "" {
		_ = raw.SetDeadline(time.Time{})
		return raw, answer, nil
	}
	_ = raw.Close()
	if err != nil {
		return nil, answer, fmt.Errorf("%w: %s: %v", connector.ErrDetour, helper.Name, err)
	}
	return nil, answer, fmt.Errorf("%w: %s: %s", ErrDeclined, helper.Name, answer.Reason)
}

// exchangeOpen sends the open frame and reads the reply. A host that does not know tunnels
// takes the preface for the length of a message that is too long, and closes the
// connection.
func exchangeOpen(ctx context.Context, raw net.Conn, o open) (reply, error) {
	silent := reply{Reason: reacher.Silent}
	if deadline, ok := ctx.Deadline(); ok {
		if err := raw.SetDeadline(deadline); err != nil {
			return silent, err
		}
	}
	if _, err := raw.Write([]byte(preface)); err != nil {
		return silent, err
	}
	if _, err := messenger.WriteFrame(raw, o); err != nil {
		return silent, err
	}
	var answer reply
	_, err := messenger.ReadFrame(raw, &answer)
	switch {
	case err == nil:
		answer.Reason = answer.Reason.Known()
		return answer, nil
	case connector.ClosedByPeer(err):
		return reply{Reason: reacher.Foreign}, err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return silent, err
	}
	return silent, err
}
