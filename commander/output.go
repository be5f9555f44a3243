package commander

import (
	"fmt"
	"io"
)

// output is a command's standard output. It remembers the first write error, so that a
// command fails whose output was not written completely.
type output struct {
	w   io.Writer
	err error
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	n, err := o.w.Write(p)
	if err != nil && o.err == nil {
		o.err = fmt.Errorf("standard output: %w", err)
	}
	return n, err
}
